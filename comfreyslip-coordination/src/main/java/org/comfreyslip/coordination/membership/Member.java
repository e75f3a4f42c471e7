package org.comfreyslip.coordination.membership;

/**
 * One run of a daemon.
 *
 * @param name the daemon's name, unique in the deployment
 * @param incarnation start time of the run; a higher one replaces a lower one
 * @param address gRPC address, {@code ip:port}
 * @param dataCentre the data centre's name
 * @param region the region's name
 */
public record Member(String name, long incarnation, String address, String dataCentre, String region) {
}
