package org.comfreyslip.routing.endpoint;

/**
 * State of one endpoint as one daemon sees it.
 */
public enum EndpointState {

	/** Takes work; its weight may still rise during slow start. */
	HEALTHY,

	/** Takes no work until the back-off ends. */
	EJECTED,

	/** The back-off has ended; a single probe decides. */
	HALF_OPEN,

	/** Takes no new work; requests in progress continue. */
	LEAVING

}
