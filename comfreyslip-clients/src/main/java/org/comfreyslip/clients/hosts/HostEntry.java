package org.comfreyslip.clients.hosts;

/**
 * One host in the host list.
 *
 * @param address ip:port
 * @param state whether the host is in service or leaving
 */
public record HostEntry(String address, HostState state) {
}
