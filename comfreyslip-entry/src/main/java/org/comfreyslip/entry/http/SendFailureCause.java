package org.comfreyslip.entry.http;

/**
 * Why a send to an endpoint ended without a complete response.
 */
public enum SendFailureCause {

	/** No connection was opened, so the endpoint has not seen the request. */
	NOT_CONNECTED(false),

	/** The connection was closed. */
	CLOSED(true),

	/**
	 * The bytes received are not a valid response, or not the response to this request.
	 */
	GARBLED(true),

	/** The endpoint sent nothing for too long. */
	SILENT(true);

	private final boolean mayHaveRun;

	SendFailureCause(boolean mayHaveRun) {
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
