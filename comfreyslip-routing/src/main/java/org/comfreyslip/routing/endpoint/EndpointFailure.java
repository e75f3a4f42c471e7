package org.comfreyslip.routing.endpoint;

/**
 * How a call to an endpoint failed. A failure that clearly points at the endpoint ejects
 * it after fewer consecutive failures than one that a single bad request can also cause.
 */
public enum EndpointFailure {

	/** The connection was refused or reset. */
	REFUSED(1),

	/** No response arrived within the timeout. */
	TIMEOUT(2),

	/** The endpoint responded with an error. */
	ERROR(3);

	private final int ejectionThreshold;

	EndpointFailure(int threshold) {
		this.ejectionThreshold = threshold;
	}

	/**
	 * Returns whether an endpoint is to be ejected after this failure.
	 * @param failuresInRow the number of consecutive failures, this one included
	 * @return {@code true} if the number reaches the threshold of this kind of failure
	 */
	public boolean isEjectionDue(int failuresInRow) {
		return failuresInRow >= this.ejectionThreshold;
	}

}
