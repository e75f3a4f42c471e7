package org.comfreyslip.routing.endpoint;

/**
 * The health and load of one endpoint as this daemon sees them.
 *
 * @param name the endpoint's name
 * @param group the service or model it belongs to
 * @param health whether it may take calls, with its measured times
 * @param load its open calls and last load report
 */
public record EndpointEntry(String name, String group, EndpointHealth health, EndpointLoad load) {

	/**
	 * Returns the endpoint as a candidate for a call.
	 * @param nowNanos the current time in ns
	 * @param defaultServiceNanos the expected time of one call if none was measured yet,
	 * in ns
	 * @param daemons the number of live daemons, this one included, at least 1
	 * @return the endpoint with its current load estimate and slow-start weight
	 */
	public EndpointCandidate toCandidate(long nowNanos, long defaultServiceNanos, int daemons) {
		long service = Math.max(1, this.health.timing().meanNanos(defaultServiceNanos));
		return new EndpointCandidate(this.name, this.load.outstanding(),
				this.load.estimateQueue(nowNanos, service, daemons), service, this.health.slowStartWeight(nowNanos));
	}

}
