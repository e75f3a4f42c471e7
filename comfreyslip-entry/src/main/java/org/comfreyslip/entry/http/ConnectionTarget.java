package org.comfreyslip.entry.http;

import java.net.InetSocketAddress;

import org.comfreyslip.entry.model.Endpoint;
import org.comfreyslip.entry.reach.RelayPeer;

/**
 * Where a pooled connection leads.
 *
 * @param id identity of the endpoint or name of the daemon
 * @param poolKey key that is equal only for connections that may replace each other
 * @param address the address
 */
record ConnectionTarget(String id, String poolKey, InetSocketAddress address) {

	static ConnectionTarget of(Endpoint endpoint) {
		return new ConnectionTarget(endpoint.id(), endpoint.processId() + "/" + endpoint.address(), endpoint.address());
	}

	static ConnectionTarget of(RelayPeer peer) {
		return new ConnectionTarget(peer.name(), peer.name() + "/" + peer.address(), peer.address());
	}

}
