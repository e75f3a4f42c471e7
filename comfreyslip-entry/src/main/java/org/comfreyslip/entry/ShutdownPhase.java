package org.comfreyslip.entry;

/**
 * What a daemon does after the stop signal.
 */
public enum ShutdownPhase {

	/** New connections are served, because the balancer still sends some. */
	ACCEPTING,

	/** No new connection is taken; open requests are finished. */
	FINISHING,

	/** The process ends, whatever is open. */
	OVER;

	/**
	 * Time after the stop signal in which new connections are served, in ms. The balancer
	 * asks once a second and takes a daemon out after two refusals, which is after 2 s at
	 * the latest. A request that is taken 3 s after the signal must be finished however
	 * long it is, so that none may be taken then.
	 */
	static final long ACCEPT_MS = 2_500;

	/**
	 * Time before the end of the grace period at which the process ends, in ms; its exit
	 * takes a part of it.
	 */
	static final long GRACE_MARGIN_MS = 400;

	/**
	 * Returns the phase.
	 * @param sinceMs time since the stop signal, in ms
	 * @param graceMs time from the signal until the process is killed, in ms
	 * @return the phase at that time
	 */
	public static ShutdownPhase at(long sinceMs, long graceMs) {
		if (sinceMs >= graceMs - GRACE_MARGIN_MS) {
			return OVER;
		}
		return (sinceMs < ACCEPT_MS) ? ACCEPTING : FINISHING;
	}

}
