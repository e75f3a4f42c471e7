package org.comfreyslip.coordination.drain;

import org.comfreyslip.coordination.Invariant;

/**
 * State machine of a daemon's graceful shutdown. It is driven by events; phases change
 * only in {@link #onShutdownSignal(long)} and {@link #updatePhase(long)}. Not
 * thread-safe.
 */
public final class DrainState {

	private final long balancerLagNanos;

	private final long drainLimitNanos;

	private DrainPhase phase = DrainPhase.RUNNING;

	private long announcedAtNanos;

	private int openRequests;

	private boolean endedWithOpenRequests;

	/**
	 * Creates the state of a running daemon.
	 * @param balancerLagNanos how long requests are still accepted after the signal, in
	 * nanoseconds; at least the time that the balancer needs to notice that the daemon is
	 * not ready
	 * @param drainLimitNanos how long after the signal the process ends even if requests
	 * are open, in nanoseconds, longer than the lag
	 */
	public DrainState(long balancerLagNanos, long drainLimitNanos) {
		Invariant.check(balancerLagNanos >= 0 && drainLimitNanos > balancerLagNanos,
				"the drain deadline must be longer than the balancer's lag");
		this.balancerLagNanos = balancerLagNanos;
		this.drainLimitNanos = drainLimitNanos;
	}

	/**
	 * Returns the phase after the last event.
	 * @return the phase, not updated for time that has passed since then
	 */
	public DrainPhase phase() {
		return this.phase;
	}

	/**
	 * Returns whether the process ended while requests were open.
	 * @return {@code true} if a second signal or the drain limit ended open requests
	 */
	public boolean hasEndedWithOpenRequests() {
		return this.endedWithOpenRequests;
	}

	/**
	 * Processes a signal to shut down. The first one starts the shutdown, the second one
	 * ends the process immediately.
	 * @param nowNanos the current monotonic time
	 */
	public void onShutdownSignal(long nowNanos) {
		if (this.phase == DrainPhase.RUNNING) {
			this.announcedAtNanos = nowNanos;
			enterPhase(DrainPhase.ANNOUNCED);
			return;
		}
		endProcess();
	}

	/**
	 * Enters the phases that are due.
	 * @param nowNanos the current monotonic time
	 */
	public void updatePhase(long nowNanos) {
		if (this.phase == DrainPhase.RUNNING) {
			return;
		}
		long elapsedNanos = nowNanos - this.announcedAtNanos;
		if (this.phase == DrainPhase.ANNOUNCED && elapsedNanos >= this.balancerLagNanos) {
			enterPhase(DrainPhase.REFUSING);
		}
		if (elapsedNanos >= this.drainLimitNanos || (this.phase == DrainPhase.REFUSING && this.openRequests == 0)) {
			endProcess();
		}
	}

	/**
	 * Admits a request if the phase allows it. An admitted request is open until
	 * {@link #onRequestEnded()}.
	 * @return {@code false} if the request must be refused as not run
	 */
	public boolean tryAdmitRequest() {
		if (!this.phase.isAccepting()) {
			return false;
		}
		this.openRequests++;
		return true;
	}

	/**
	 * Ends an admitted request, because its final response was sent.
	 */
	public void onRequestEnded() {
		Invariant.check(this.openRequests > 0, "more requests ended than were admitted");
		this.openRequests--;
	}

	private void endProcess() {
		if (this.phase != DrainPhase.ENDED) {
			this.endedWithOpenRequests = this.openRequests > 0;
			enterPhase(DrainPhase.ENDED);
		}
	}

	private void enterPhase(DrainPhase next) {
		Invariant.check(next.compareTo(this.phase) > 0, "the drain phase went from " + this.phase + " to " + next);
		this.phase = next;
	}

}
