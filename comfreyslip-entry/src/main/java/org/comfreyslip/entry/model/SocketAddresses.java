package org.comfreyslip.entry.model;

import java.net.InetSocketAddress;

/**
 * Formats socket addresses as text.
 */
public final class SocketAddresses {

	private SocketAddresses() {
	}

	/**
	 * Returns an address in the form that endpoints and the store use.
	 * @param address the address; its host must be an IP address, not a name
	 * @return the IP address and the port, separated by a colon
	 */
	public static String text(InetSocketAddress address) {
		return address.getHostString() + ":" + address.getPort();
	}

}
