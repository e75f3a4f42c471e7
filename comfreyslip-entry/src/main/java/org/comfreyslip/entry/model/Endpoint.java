package org.comfreyslip.entry.model;

import java.net.InetSocketAddress;
import java.util.Optional;

/**
 * One incarnation of an endpoint as it registered itself.
 *
 * @param id identity, kept by some endpoints over a restart
 * @param bornMs start of this incarnation, in Unix ms
 * @param heartbeat number of the registration within the incarnation
 * @param service the service that it belongs to
 * @param address where it listens
 * @param dataCentre the data centre
 * @param draining whether it announced that it is leaving
 * @param accelerator the accelerator kind; empty for plain services
 * @param layers the layers that it holds; empty if it holds none
 */
public record Endpoint(String id, long bornMs, long heartbeat, String service, InetSocketAddress address,
		String dataCentre, boolean draining, Optional<String> accelerator, Optional<LayerRange> layers) {

	/**
	 * Tells whether both describe the same incarnation.
	 * @param other another registration
	 * @return whether identity and start are the same
	 */
	public boolean sameIncarnation(Endpoint other) {
		return this.id.equals(other.id) && this.bornMs == other.bornMs;
	}

}
