package org.comfreyslip.clients.hosts;

import java.util.List;

/**
 * The platform's host list. It lags behind the real state.
 *
 * @param hosts live and leaving hosts
 */
public record HostList(List<HostEntry> hosts) {

	/**
	 * Copies the hosts.
	 */
	public HostList {
		hosts = List.copyOf(hosts);
	}

}
