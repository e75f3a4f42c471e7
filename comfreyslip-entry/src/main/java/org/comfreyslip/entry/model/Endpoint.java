package org.comfreyslip.entry.model;

import java.net.InetSocketAddress;
import java.util.Optional;

/**
 * One incarnation of an endpoint, as it registered itself in the store.
 *
 * @param id identity; some endpoints keep it when they restart
 * @param incarnationStartMs start of this incarnation, in Unix ms
 * @param heartbeat number of the registration within the incarnation; increases
 * @param service name of the service that it belongs to
 * @param address address on which it listens
 * @param dataCentre name of its data centre
 * @param draining whether it has announced that it is leaving
 * @param accelerator name of its accelerator kind; empty for plain services
 * @param layers the model layers that it holds; empty if it holds none
 * @param slots number of requests that it processes at the same time; 0 or less if not
 * stated
 */
public record Endpoint(String id, long incarnationStartMs, long heartbeat, String service, InetSocketAddress address,
		String dataCentre, boolean draining, Optional<String> accelerator, Optional<LayerRange> layers, int slots) {

	/**
	 * Creates a registration that states no slots.
	 * @param id identity
	 * @param incarnationStartMs start of this incarnation, in Unix ms
	 * @param heartbeat number of the registration within the incarnation
	 * @param service name of the service that it belongs to
	 * @param address address on which it listens
	 * @param dataCentre name of its data centre
	 * @param draining whether it has announced that it is leaving
	 * @param accelerator name of its accelerator kind; empty for plain services
	 * @param layers the model layers that it holds; empty if it holds none
	 */
	public Endpoint(String id, long incarnationStartMs, long heartbeat, String service, InetSocketAddress address,
			String dataCentre, boolean draining, Optional<String> accelerator, Optional<LayerRange> layers) {
		this(id, incarnationStartMs, heartbeat, service, address, dataCentre, draining, accelerator, layers, 0);
	}

	/**
	 * Names the endpoint's process.
	 * @return a text that differs for each incarnation of each endpoint
	 */
	public String processId() {
		return this.id + "/" + this.incarnationStartMs;
	}

	/**
	 * Tells whether another registration is of the same incarnation.
	 * @param other the other registration
	 * @return whether identity and start are equal
	 */
	public boolean isSameIncarnation(Endpoint other) {
		return this.id.equals(other.id) && this.incarnationStartMs == other.incarnationStartMs;
	}

}
