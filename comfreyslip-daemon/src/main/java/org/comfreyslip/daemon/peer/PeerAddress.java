package org.comfreyslip.daemon.peer;

import java.net.InetSocketAddress;

/**
 * Addresses in the form {@code ip:port} or {@code [ipv6]:port}.
 */
final class PeerAddress {

	private PeerAddress() {
	}

	static InetSocketAddress toSocket(String address) {
		int colon = address.lastIndexOf(':');
		String host = address.substring(0, colon).replace("[", "").replace("]", "");
		return new InetSocketAddress(host, Integer.parseInt(address.substring(colon + 1)));
	}

	static String withPort(String address, int port) {
		return address.substring(0, address.lastIndexOf(':') + 1) + port;
	}

}
