package org.comfreyslip.entry.http;

/**
 * Why a request at an endpoint ended without a complete response.
 */
public enum BreakCause {

	/** No connection was made, so the endpoint has not seen the request. */
	NOT_CONNECTED(false),

	/** The connection ended. */
	CLOSED(true),

	/** The bytes are no response, or not the response of this request. */
	GARBLED(true),

	/** The endpoint did not answer in time. */
	SILENT(true);

	private final boolean mayHaveRun;

	BreakCause(boolean mayHaveRun) {
		this.mayHaveRun = mayHaveRun;
	}

	/**
	 * Tells whether the endpoint may have run the request.
	 * @return whether it may have run
	 */
	public boolean mayHaveRun() {
		return this.mayHaveRun;
	}

}
