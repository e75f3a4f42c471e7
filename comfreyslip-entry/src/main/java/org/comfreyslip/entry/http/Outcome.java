package org.comfreyslip.entry.http;

import org.comfreyslip.entry.EntryMetrics;

/**
 * How a request ended.
 */
enum Outcome {

	/** The caller got the whole response of an endpoint. */
	SERVED(EntryMetrics.Count.SERVED),

	/** The caller was told that the request did not run. */
	REFUSED(EntryMetrics.Count.REFUSED),

	/** The outcome at the endpoint is unknown. */
	FAILED(EntryMetrics.Count.FAILED),

	/** The deadline of the caller or the timeout of the route passed. */
	TIMED_OUT(EntryMetrics.Count.TIMED_OUT),

	/** A stream ended before its last event. */
	BROKEN_OFF(EntryMetrics.Count.BROKEN_OFF),

	/** The caller closed its connection. */
	CALLER_LEFT(EntryMetrics.Count.CALLER_LEFT);

	private final EntryMetrics.Count count;

	Outcome(EntryMetrics.Count count) {
		this.count = count;
	}

	EntryMetrics.Count count() {
		return this.count;
	}

}
