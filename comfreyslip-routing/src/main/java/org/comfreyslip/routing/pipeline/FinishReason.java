package org.comfreyslip.routing.pipeline;

/**
 * Why an answer is complete.
 */
public enum FinishReason {

	/** The model ended it. */
	STOP,

	/** The token limit was reached. */
	LENGTH;

	/**
	 * Returns the name that callers see.
	 * @return the name in lower case
	 */
	public String wireName() {
		return name().toLowerCase(java.util.Locale.ROOT);
	}

}
