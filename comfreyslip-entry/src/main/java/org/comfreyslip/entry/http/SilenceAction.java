package org.comfreyslip.entry.http;

import org.comfreyslip.entry.model.Route;

/**
 * What is done about a send that makes no progress.
 */
enum SilenceAction {

	/** The send goes on. */
	NONE,

	/** The send ends if another target can take the request. */
	ABANDON,

	/** The first endpoint of the path is probed for a stall. */
	PROBE;

	/**
	 * Time without progress after which a request is taken back from another daemon, in
	 * ms: longer than the silence after which that daemon turns to another endpoint.
	 */
	private static final long DAEMON_SILENCE_MS = 1_200;

	/**
	 * Decides about a send to an endpoint.
	 * @param send the send
	 * @param route the route of the request
	 * @param runCount number of endpoints that may have run the request
	 * @param streamStarted whether events have been relayed
	 * @param silenceMs time since the last progress, in ms
	 * @return what is done
	 */
	static SilenceAction ofEndpoint(SendState send, Route route, int runCount, boolean streamStarted, long silenceMs) {
		return (send.target().path().isPresent()) ? ofPath(send, route, streamStarted, silenceMs)
				: ofPlainEndpoint(send, route, runCount, silenceMs);
	}

	/**
	 * Decides about a send to another daemon.
	 * @param silenceMs time since the last progress, in ms
	 * @return what is done
	 */
	static SilenceAction ofDaemon(long silenceMs) {
		return (silenceMs >= DAEMON_SILENCE_MS) ? ABANDON : NONE;
	}

	private static SilenceAction ofPlainEndpoint(SendState send, Route route, int runCount, long silenceMs) {
		boolean silent = send.isWriteStarted() && !send.hasResponse() && silenceMs >= SilenceLimits.plainMs(route);
		return (route.mayRunAgain() && silent && runCount + 1 < route.maxAttempts()) ? ABANDON : NONE;
	}

	private static SilenceAction ofPath(SendState send, Route route, boolean streamStarted, long silenceMs) {
		long limitMs = (streamStarted) ? SilenceLimits.eventGapMs(route) : SilenceLimits.firstEventMs(route);
		return (send.isWriteStarted() && silenceMs >= limitMs) ? PROBE : NONE;
	}

}
