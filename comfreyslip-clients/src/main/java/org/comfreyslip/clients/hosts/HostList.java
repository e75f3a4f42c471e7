package org.comfreyslip.clients.hosts;

import java.util.List;

/**
 * The platform's host list. It may be out of date.
 *
 * @param hosts the live and the leaving hosts
 */
public record HostList(List<HostEntry> hosts) {

	/**
	 * Makes an unmodifiable copy of the hosts.
	 */
	public HostList {
		hosts = List.copyOf(hosts);
	}

}
