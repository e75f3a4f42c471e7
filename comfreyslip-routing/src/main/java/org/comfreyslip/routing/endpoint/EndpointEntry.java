package org.comfreyslip.routing.endpoint;

/**
 * What one daemon knows about one endpoint.
 *
 * @param name the endpoint's name
 * @param group the service or model it belongs to
 * @param health its health
 * @param load its load
 */
public record EndpointEntry(String name, String group, EndpointHealth health, EndpointLoad load) {

	/**
	 * Returns the endpoint as a candidate for a call.
	 * @param nowNanos the current time in ns
	 * @param defaultServiceNanos the time of one call while none was measured, in ns
	 * @param daemons the live daemons
	 * @return the candidate
	 */
	public EndpointCandidate toCandidate(long nowNanos, long defaultServiceNanos, int daemons) {
		long service = Math.max(1, this.health.timing().meanNanos(defaultServiceNanos));
		return new EndpointCandidate(this.name, this.load.outstanding(),
				this.load.estimateQueue(nowNanos, service, daemons), service, this.health.slowStartWeight(nowNanos));
	}

}
