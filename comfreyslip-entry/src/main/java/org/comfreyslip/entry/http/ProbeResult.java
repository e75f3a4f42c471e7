package org.comfreyslip.entry.http;

import java.util.Optional;

/**
 * Result of a probe for a stream.
 */
enum ProbeResult {

	/** The first endpoint reports no stall of the stream. */
	WORKING(null),

	/** The first endpoint's limit allows no probe now. */
	HELD_BACK(null),

	/** The stream waits for another endpoint of its path, which does not respond. */
	STALLED(SendFailureCause.LATER_STAGE_LOST),

	/** The stream waits for an endpoint that is no later stage of its path. */
	STALLED_OFF_PATH(SendFailureCause.SILENT),

	/** The first endpoint sent no report. */
	UNREACHABLE(SendFailureCause.SILENT);

	private final SendFailureCause failureCause;

	ProbeResult(SendFailureCause failureCause) {
		this.failureCause = failureCause;
	}

	/**
	 * Returns why the send should end.
	 * @return the cause; empty if it should not
	 */
	Optional<SendFailureCause> failureCause() {
		return Optional.ofNullable(this.failureCause);
	}

}
