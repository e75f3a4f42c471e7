package org.comfreyslip.clients.hosts;

/**
 * One host.
 *
 * @param address ip:port
 * @param state the state
 */
public record HostEntry(String address, HostState state) {
}
