package org.comfreyslip.entry.model;

import java.net.InetSocketAddress;

/**
 * Text of socket addresses.
 */
public final class SocketAddresses {

	private SocketAddresses() {
	}

	/**
	 * Returns the text by which endpoints and the store name an address.
	 * @param address the address, given by IP
	 * @return the IP address and the port, separated by a colon
	 */
	public static String text(InetSocketAddress address) {
		return address.getHostString() + ":" + address.getPort();
	}

}
