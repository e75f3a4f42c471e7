package org.comfreyslip.coordination.drain;

/**
 * Phase of a daemon's end, in the order of time.
 */
public enum DrainPhase {

	/** The daemon runs. */
	RUNNING(true, true),

	/**
	 * The daemon reports itself not ready and still accepts requests, until the balancer
	 * has noticed.
	 */
	ANNOUNCED(false, true),

	/** New requests are refused as not run; open requests go on. */
	REFUSING(false, false),

	/**
	 * The process ends. Open streams get an error event, and open protected calls are
	 * settled as unknown.
	 */
	ENDED(false, false);

	private final boolean ready;

	private final boolean accepting;

	DrainPhase(boolean ready, boolean accepting) {
		this.ready = ready;
		this.accepting = accepting;
	}

	/**
	 * Returns whether the daemon reports itself ready.
	 * @return {@code true} if the balancer may send requests
	 */
	public boolean isReady() {
		return this.ready;
	}

	/**
	 * Returns whether new requests are accepted.
	 * @return {@code true} if they are
	 */
	public boolean isAccepting() {
		return this.accepting;
	}

}
