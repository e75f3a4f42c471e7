package org.comfreyslip.routing.endpoint;

/**
 * An endpoint that may take a call, as the policies see it.
 *
 * @param name the endpoint's name
 * @param outstanding the daemon's own open calls
 * @param queue the expected count of calls of all daemons at the endpoint
 * @param serviceNanos the expected time of one call without a queue, in ns, at least 1
 * @param weight the slow-start weight, above 0 and at most 1
 */
public record EndpointCandidate(String name, int outstanding, double queue, long serviceNanos, double weight) {

	/**
	 * Returns the expected time until a further call is complete.
	 * @return the time in ns
	 */
	public double expectedCompletionNanos() {
		return (this.queue + 1) * this.serviceNanos / this.weight;
	}

	/**
	 * Returns the rate at which the endpoint completes calls.
	 * @return calls per ns, reduced by the slow-start weight
	 */
	public double callsPerNano() {
		return this.weight / this.serviceNanos;
	}

}
