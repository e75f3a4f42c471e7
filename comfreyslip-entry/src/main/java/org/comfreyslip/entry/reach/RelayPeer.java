package org.comfreyslip.entry.reach;

import java.net.InetSocketAddress;
import java.util.List;

/**
 * Another daemon, as a way for requests to endpoints that this one does not reach.
 *
 * @param name its name
 * @param dataCentre its data centre
 * @param address address on which it takes requests of other daemons
 * @param accepting whether it takes them
 * @param lostServices services whose endpoints it does not reach itself
 */
public record RelayPeer(String name, String dataCentre, InetSocketAddress address, boolean accepting,
		List<String> lostServices) {

	/**
	 * Tells whether the daemon may reach the endpoints of a service.
	 * @param service name of the service
	 * @return whether it has not stated the contrary
	 */
	public boolean mayReach(String service) {
		return !this.lostServices.contains(service);
	}

}
