package org.comfreyslip.entry;

/**
 * Phases of a daemon's shutdown after the stop signal.
 */
public enum ShutdownPhase {

	/** New connections are still accepted, because the load balancer still opens some. */
	ACCEPTING,

	/** No new connections are accepted; open requests are completed. */
	FINISHING,

	/** The process exits even if requests are open. */
	OVER;

	/**
	 * Time after the stop signal during which new connections are accepted, in ms. The
	 * load balancer probes once a second and removes a daemon after two failed probes,
	 * which is after 2 s at the latest. A request that is accepted 3 s after the signal
	 * must be completed however long it runs, so no request may be accepted that late.
	 */
	static final long ACCEPT_MS = 2_500;

	/**
	 * Time before the end of the grace period at which the process exits, in ms. The exit
	 * itself takes a part of it.
	 */
	static final long GRACE_MARGIN_MS = 400;

	/**
	 * Returns the phase at a time.
	 * @param sinceMs time since the stop signal, in ms
	 * @param graceMs time from the stop signal until the process is killed, in ms
	 * @return the phase; {@link #OVER} takes precedence if the grace period is short
	 */
	public static ShutdownPhase at(long sinceMs, long graceMs) {
		if (sinceMs >= graceMs - GRACE_MARGIN_MS) {
			return OVER;
		}
		return (sinceMs < ACCEPT_MS) ? ACCEPTING : FINISHING;
	}

	/**
	 * Tells whether a request may be sent to its first endpoint. Once no more connections
	 * are accepted, the process may exit before the response.
	 * @param sinceMs time since the stop signal, in ms
	 * @param remainingMs time until the request times out, in ms
	 * @param graceMs time from the stop signal until the process is killed, in ms
	 * @return whether connections are still accepted, or the request times out before the
	 * process exits
	 */
	public static boolean allowsFirstSend(long sinceMs, long remainingMs, long graceMs) {
		return at(sinceMs, graceMs) == ACCEPTING || sinceMs + remainingMs <= graceMs - GRACE_MARGIN_MS;
	}

}
