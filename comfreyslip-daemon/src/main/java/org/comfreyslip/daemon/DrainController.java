package org.comfreyslip.daemon;

import org.comfreyslip.coordination.drain.DrainPhase;
import org.comfreyslip.coordination.drain.DrainState;

/**
 * Shutdown state of the daemon. Thread-safe.
 */
public final class DrainController {

	private final DrainState state;

	private int open;

	/**
	 * Creates the state of a running daemon.
	 * @param balancerLagNanos how long requests are accepted after the signal, in ns
	 * @param drainLimitNanos how long open requests may take after the signal, in ns
	 */
	public DrainController(long balancerLagNanos, long drainLimitNanos) {
		this.state = new DrainState(balancerLagNanos, drainLimitNanos);
	}

	/**
	 * Opens a request.
	 * @return {@code false} if the daemon refuses new requests
	 */
	public synchronized boolean tryBegin() {
		boolean begun = this.state.tryAdmitRequest();
		this.open += begun ? 1 : 0;
		return begun;
	}

	/**
	 * Ends a request that was opened.
	 */
	public synchronized void end() {
		this.state.onRequestEnded();
		this.open--;
	}

	/**
	 * Takes a signal to shut down.
	 * @param now the present time, in monotonic ns
	 */
	public synchronized void onSignal(long now) {
		this.state.onShutdownSignal(now);
	}

	/**
	 * Takes the passing of time.
	 * @param now the present time, in monotonic ns
	 * @return the phase
	 */
	public synchronized DrainPhase onTime(long now) {
		this.state.updatePhase(now);
		return this.state.phase();
	}

	/**
	 * Returns the phase as of the last event.
	 * @return the phase
	 */
	public synchronized DrainPhase phase() {
		return this.state.phase();
	}

	/**
	 * Returns the number of open requests.
	 * @return the count
	 */
	public synchronized int openRequests() {
		return this.open;
	}

}
