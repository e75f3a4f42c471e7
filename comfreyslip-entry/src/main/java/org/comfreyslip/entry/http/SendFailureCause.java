package org.comfreyslip.entry.http;

import java.util.Optional;

import org.comfreyslip.entry.fleet.FaultKind;
import org.comfreyslip.entry.stream.EventFramer;

/**
 * Why a send to an endpoint ended without a complete response.
 */
public enum SendFailureCause {

	/** No connection was opened, so the endpoint has not seen the request. */
	NOT_CONNECTED(false, true, FaultKind.UNREACHABLE),

	/** The connection was closed. */
	CLOSED(true, true, FaultKind.DECLINED),

	/**
	 * The connection was reset while the request was being written, so that the end of
	 * the response, if it has begun, is unknown.
	 */
	WRITE_FAILED(true, true, FaultKind.DECLINED),

	/**
	 * The bytes received are not a valid response, or not the response to this request.
	 */
	GARBLED(true, true, null),

	/** The endpoint sent more bytes than any sound one, without end as far as known. */
	ENDLESS(true, true, FaultKind.DECLINED),

	/** The endpoint sent nothing for too long. */
	SILENT(true, true, FaultKind.UNREACHABLE),

	/** A later endpoint of the path ended or does not respond. */
	LATER_STAGE_LOST(true, false, null);

	private final boolean mayHaveRun;

	private final boolean causedByTarget;

	private final FaultKind fault;

	SendFailureCause(boolean mayHaveRun, boolean causedByTarget, FaultKind fault) {
		this.mayHaveRun = mayHaveRun;
		this.causedByTarget = causedByTarget;
		this.fault = fault;
	}

	/**
	 * Returns why the run of a stream cannot go on.
	 * @param framer what the run has sent
	 * @return the cause; empty if it can go on
	 */
	static Optional<SendFailureCause> of(EventFramer framer) {
		if (framer.isMalformed()) {
			return Optional.of(GARBLED);
		}
		return (framer.exceedsLimit()) ? Optional.of(ENDLESS) : Optional.empty();
	}

	/**
	 * Tells whether the endpoint may have run the request.
	 * @return whether it may have run
	 */
	public boolean mayHaveRun() {
		return this.mayHaveRun;
	}

	/**
	 * Tells whether an open connection to the target ended.
	 * @return whether it was closed or reset
	 */
	public boolean isConnectionLost() {
		return this == CLOSED || this == WRITE_FAILED;
	}

	/**
	 * Returns the fault to record against the endpoint that the request was sent to.
	 * @return the kind of fault; empty if there is none to record
	 */
	public Optional<FaultKind> fault() {
		return Optional.ofNullable(this.fault);
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
