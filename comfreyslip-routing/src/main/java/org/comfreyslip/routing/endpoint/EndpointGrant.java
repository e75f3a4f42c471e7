package org.comfreyslip.routing.endpoint;

/**
 * Whether an endpoint may take a call.
 */
public enum EndpointGrant {

	/** The call may start. */
	NORMAL,

	/**
	 * The call may start as the half-open probe that decides whether the endpoint
	 * recovers.
	 */
	PROBE,

	/** The call may not start. */
	REFUSED

}
