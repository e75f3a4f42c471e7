package org.comfreyslip.coordination.membership;

/**
 * One run of a daemon: from the start of its process to its end.
 *
 * @param name the daemon's name, unique in the deployment
 * @param incarnation number of the run, normally its start time; a run with a higher
 * incarnation replaces one with a lower incarnation
 * @param address address for messages between daemons (gRPC), {@code ip:port}
 * @param dataCentre the data centre's name
 * @param region the region's name
 */
public record Member(String name, long incarnation, String address, String dataCentre, String region) {
}
