package org.comfreyslip.entry.model;

import java.util.List;

/**
 * A route of the configuration: which requests it applies to, the services that serve
 * them and the rules for dispatching them.
 *
 * @param name the route's name
 * @param host host name that requests carry, in lower case
 * @param pathPrefix prefix of the path; begins and ends with a slash
 * @param kind whether requests may run more than once
 * @param services the services with their weights; at least one
 * @param maxAttempts largest number of endpoints that may run one request
 * @param timeoutMs longest time until the final response, in ms
 * @param targetLatencyMs latency objective, in ms
 * @param targetGapMs largest gap between two events at which a stream is on time, in ms;
 * 0 on routes without streams
 * @param priority priority of the requests; 0 is the most urgent
 * @param keyless whether requests need no API key
 * @param resumable whether an interrupted stream may be resumed at another endpoint
 */
public record Route(String name, String host, String pathPrefix, RouteKind kind, List<WeightedService> services,
		int maxAttempts, long timeoutMs, long targetLatencyMs, long targetGapMs, int priority, boolean keyless,
		boolean resumable) {

	/**
	 * Tells whether a request whose first run has an unknown outcome may run again.
	 * @return whether another run is allowed
	 */
	public boolean mayRunAgain() {
		return this.kind.mayRunAgain(this.resumable);
	}

	/**
	 * A service and its share of the route's traffic.
	 *
	 * @param service the service's name
	 * @param weight the share relative to the other services
	 */
	public record WeightedService(String service, double weight) {
	}

}
