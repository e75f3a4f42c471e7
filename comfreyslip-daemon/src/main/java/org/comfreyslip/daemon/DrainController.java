package org.comfreyslip.daemon;

import org.comfreyslip.coordination.drain.DrainPhase;
import org.comfreyslip.coordination.drain.DrainState;

/**
 * Shutdown state of the daemon, with the number of open requests. Thread-safe.
 */
public final class DrainController {

	private final DrainState state;

	private int openRequests;

	/**
	 * Creates the state of a running daemon.
	 * @param balancerLagNanos how long requests are still accepted after the signal,
	 * until load balancers have noticed the shutdown, in ns
	 * @param drainLimitNanos how long open requests may take after the signal, in ns
	 */
	public DrainController(long balancerLagNanos, long drainLimitNanos) {
		this.state = new DrainState(balancerLagNanos, drainLimitNanos);
	}

	/**
	 * Begins a request, unless the daemon refuses new requests.
	 * @return whether the request has begun; if so, {@link #endRequest} has to follow
	 */
	public synchronized boolean tryBeginRequest() {
		boolean begun = this.state.tryAdmitRequest();
		this.openRequests += begun ? 1 : 0;
		return begun;
	}

	/**
	 * Ends a request that has begun.
	 */
	public synchronized void endRequest() {
		this.state.onRequestEnded();
		this.openRequests--;
	}

	/**
	 * Begins the shutdown, or ends it at once if it has begun.
	 * @param nowNanos the present time, on the monotonic clock
	 */
	public synchronized void onShutdownSignal(long nowNanos) {
		this.state.onShutdownSignal(nowNanos);
	}

	/**
	 * Moves on to the phase that holds at the present time.
	 * @param nowNanos the present time, on the monotonic clock
	 * @return the phase that holds now
	 */
	public synchronized DrainPhase updatePhase(long nowNanos) {
		this.state.updatePhase(nowNanos);
		return this.state.phase();
	}

	/**
	 * Returns the phase as of the last call that changed it.
	 * @return the phase, which may be out of date by the time since then
	 */
	public synchronized DrainPhase phase() {
		return this.state.phase();
	}

	/**
	 * Returns the number of open requests.
	 * @return the requests that have begun and not ended
	 */
	public synchronized int openRequests() {
		return this.openRequests;
	}

}
