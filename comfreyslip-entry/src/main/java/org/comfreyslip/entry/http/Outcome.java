package org.comfreyslip.entry.http;

import org.comfreyslip.entry.EntryMetrics;

/**
 * How a request ended, from the caller's point of view.
 */
enum Outcome {

	/** The caller received the complete response of an endpoint. */
	SERVED(EntryMetrics.Count.SERVED),

	/** The caller received a response that the request was not run. */
	REFUSED(EntryMetrics.Count.REFUSED),

	/** The caller received an error; the outcome at the endpoint is unknown. */
	FAILED(EntryMetrics.Count.FAILED),

	/** The deadline of the caller or the timeout of the route passed. */
	TIMED_OUT(EntryMetrics.Count.TIMED_OUT),

	/** A stream was broken off before its last event. */
	BROKEN_OFF(EntryMetrics.Count.BROKEN_OFF),

	/** The caller closed its connection. */
	CALLER_LEFT(EntryMetrics.Count.CALLER_LEFT);

	private final EntryMetrics.Count count;

	Outcome(EntryMetrics.Count count) {
		this.count = count;
	}

	// Returns the outcome that the status of a daemon's own response stands for.
	static Outcome ofOwnStatus(int status) {
		return switch (status) {
			case 502, 500 -> FAILED;
			case 504 -> TIMED_OUT;
			default -> REFUSED;
		};
	}

	EntryMetrics.Count count() {
		return this.count;
	}

}
