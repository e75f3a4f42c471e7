package org.comfreyslip.routing.endpoint;

/**
 * State of one endpoint as one daemon sees it.
 */
public enum EndpointState {

	/** Takes work; its weight may still rise during slow start. */
	HEALTHY,

	/** Takes no work until the backoff ends. */
	EJECTED,

	/**
	 * The backoff has ended; the result of a single probe decides whether it recovers.
	 */
	HALF_OPEN,

	/** Takes no new work; requests in progress continue. */
	LEAVING

}
