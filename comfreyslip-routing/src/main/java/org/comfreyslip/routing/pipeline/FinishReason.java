package org.comfreyslip.routing.pipeline;

/**
 * Why a response is complete.
 */
public enum FinishReason {

	/** The model ended the response. */
	STOP,

	/** The token limit of the request was reached. */
	LENGTH;

	/**
	 * Returns the name that clients see as the finish reason.
	 * @return the name in lower case
	 */
	public String wireName() {
		return name().toLowerCase(java.util.Locale.ROOT);
	}

}
