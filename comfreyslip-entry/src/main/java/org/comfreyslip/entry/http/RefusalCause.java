package org.comfreyslip.entry.http;

/**
 * Why a request is not sent now.
 */
enum RefusalCause {

	/** The API keys are too old to accept the request. */
	STALE_KEYS("the key's validity cannot be confirmed now", "stale configuration", true),

	/** Requests like this one crash the endpoints that begin to answer them. */
	CRASHING("requests like this one crash the endpoints", "requests like it crash endpoints", false),

	/** No endpoint, or no path, has capacity for the request. */
	NO_ENDPOINT("no endpoint can take the request now", "no endpoint", true),

	/** As {@link #NO_ENDPOINT}, while the limits of some endpoints hold it back. */
	NO_ENDPOINT_WITHIN_LIMIT("no endpoint can take the request now", "no endpoint within its limit", true),

	/**
	 * No endpoint of the service can be reached, and no other daemon takes the request.
	 */
	OUT_OF_REACH("no endpoint can be reached now", "endpoints out of reach", true),

	/** This daemon stops, and exits before a response is certain. */
	STOPPING("this host stops; another one can take the request", "stopping", false),

	/** Endpoints refused the request, which may not be sent once more. */
	REFUSED_BY_ENDPOINT("the endpoint cannot take the request now", "endpoint refused", true);

	private final String message;

	private final String reason;

	private final boolean temporary;

	RefusalCause(String message, String reason, boolean temporary) {
		this.message = message;
		this.reason = reason;
		this.temporary = temporary;
	}

	/**
	 * Returns the text for the caller.
	 * @return the message of the response
	 */
	String message() {
		return this.message;
	}

	/**
	 * Returns the text for the log.
	 * @return the reason
	 */
	String reason() {
		return this.reason;
	}

	/**
	 * Tells whether the cause lies at this daemon, so that another one may serve the
	 * request.
	 * @return whether it does
	 */
	boolean isOfThisDaemon() {
		return this == OUT_OF_REACH || this == STOPPING;
	}

	/**
	 * Tells whether a stream that has started is suspended instead of broken off.
	 * @return whether the stream may go on later
	 */
	boolean isTemporary() {
		return this.temporary;
	}

}
