package org.comfreyslip.routing.endpoint;

/**
 * An endpoint that may take a call, with the values that {@link EndpointPolicy} compares.
 *
 * @param name the endpoint's name
 * @param outstanding the count of this daemon's own open calls at the endpoint
 * @param queue the estimated count of open calls of all daemons at the endpoint
 * @param serviceNanos the expected time of one call without a queue, in ns, at least 1
 * @param weight the slow-start weight, above 0 and at most 1
 */
public record EndpointCandidate(String name, int outstanding, double queue, long serviceNanos, double weight) {

	/**
	 * Returns the expected time until a call that starts now is complete.
	 * @return the time in ns, raised by a slow-start weight below 1
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
