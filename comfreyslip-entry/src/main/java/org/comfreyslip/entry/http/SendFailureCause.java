package org.comfreyslip.entry.http;

/**
 * Why a send to an endpoint ended without a complete response.
 */
public enum SendFailureCause {

	/** No connection was opened, so the endpoint has not seen the request. */
	NOT_CONNECTED(false, true),

	/** The connection was closed. */
	CLOSED(true, true),

	/**
	 * The bytes received are not a valid response, or not the response to this request.
	 */
	GARBLED(true, true),

	/** The endpoint sent nothing for too long. */
	SILENT(true, true),

	/** A later endpoint of the path ended or does not respond. */
	LATER_STAGE_LOST(true, false);

	private final boolean mayHaveRun;

	private final boolean causedByTarget;

	SendFailureCause(boolean mayHaveRun, boolean causedByTarget) {
		this.mayHaveRun = mayHaveRun;
		this.causedByTarget = causedByTarget;
	}

	/**
	 * Tells whether the endpoint may have run the request.
	 * @return whether it may have run
	 */
	public boolean mayHaveRun() {
		return this.mayHaveRun;
	}

	/**
	 * Tells whether the endpoint that the request was sent to caused the failure. If not,
	 * it may serve the request over another path.
	 * @return whether it is the cause
	 */
	public boolean isCausedByTarget() {
		return this.causedByTarget;
	}

}
