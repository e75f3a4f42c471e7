package org.comfreyslip.entry.http;

import org.comfreyslip.entry.model.Route;

/**
 * Times without progress after which something is done about a request of a route.
 */
final class SilenceLimits {

	/**
	 * Multiple of the latency target after which an idempotent request without a response
	 * is sent to another endpoint.
	 */
	private static final int MAX_SILENT_LATENCY_TARGETS = 2;

	/**
	 * Share of the route's target for the gap between events after which a silent stream
	 * is probed, in percent.
	 */
	private static final int GAP_LIMIT_PERCENT = 75;

	/**
	 * Gap between events after which a silent stream is probed on a route without a
	 * target, in ms.
	 */
	private static final long DEFAULT_GAP_LIMIT_MS = 300;

	private SilenceLimits() {
	}

	/**
	 * Returns the time without a response after which an idempotent request to a plain
	 * service is sent to another endpoint.
	 * @param route the route of the request
	 * @return the time in ms
	 */
	static long plainMs(Route route) {
		return MAX_SILENT_LATENCY_TARGETS * route.targetLatencyMs();
	}

	/**
	 * Returns the time without events after which a stream that has started is probed.
	 * @param route the route of the request
	 * @return the time in ms
	 */
	static long eventGapMs(Route route) {
		return (route.targetGapMs() > 0) ? GAP_LIMIT_PERCENT * route.targetGapMs() / 100 : DEFAULT_GAP_LIMIT_MS;
	}

	/**
	 * Returns the mean gap between events above which a stream counts as slow.
	 * @param route the route of the request
	 * @return the gap in ms
	 */
	static long slowEventGapMs(Route route) {
		return eventGapMs(route) / 2;
	}

	/**
	 * Returns the time without a first event after which a stream is probed.
	 * @param route the route of the request
	 * @return the time in ms
	 */
	static long firstEventMs(Route route) {
		return Math.max(route.targetLatencyMs(), DEFAULT_GAP_LIMIT_MS);
	}

}
