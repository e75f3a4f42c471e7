package org.comfreyslip.coordination.drain;

/**
 * The phases of a daemon's graceful shutdown, in the order in which they are entered.
 */
public enum DrainPhase {

	/** No shutdown was requested. */
	RUNNING(true, true),

	/**
	 * The daemon reports that it is not ready. It still accepts requests, because the
	 * balancer sends them until it has noticed.
	 */
	ANNOUNCED(false, true),

	/** New requests are refused as not run; open requests continue. */
	REFUSING(false, false),

	/**
	 * The process ends. Open streams get an error event. Open protected calls that may
	 * have been sent are reported with an unknown outcome.
	 */
	ENDED(false, false);

	private final boolean ready;

	private final boolean accepting;

	DrainPhase(boolean ready, boolean accepting) {
		this.ready = ready;
		this.accepting = accepting;
	}

	/**
	 * Returns whether the daemon reports that it is ready.
	 * @return {@code true} if the balancer may send requests
	 */
	public boolean isReady() {
		return this.ready;
	}

	/**
	 * Returns whether new requests are accepted.
	 * @return {@code false} if they are refused as not run
	 */
	public boolean isAccepting() {
		return this.accepting;
	}

}
