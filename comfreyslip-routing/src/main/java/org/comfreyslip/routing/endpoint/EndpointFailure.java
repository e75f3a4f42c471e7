package org.comfreyslip.routing.endpoint;

/**
 * How a call to an endpoint failed. Clear signs eject an endpoint after fewer failures
 * than signs that a single bad request can also cause.
 */
public enum EndpointFailure {

	/** The connection was refused or reset. */
	REFUSED(1),

	/** No response arrived within the time limit. */
	TIMEOUT(2),

	/** The endpoint answered with an error. */
	ERROR(3);

	private final int ejectionThreshold;

	EndpointFailure(int threshold) {
		this.ejectionThreshold = threshold;
	}

	/**
	 * Returns after how many failures in a row an endpoint is ejected.
	 * @param failuresInRow the failures in a row, this one included
	 * @return {@code true} if the endpoint is to be ejected
	 */
	public boolean isEjectionDue(int failuresInRow) {
		return failuresInRow >= this.ejectionThreshold;
	}

}
