package org.comfreyslip.coordination.drain;

import org.comfreyslip.coordination.Invariant;

/**
 * State machine of a daemon's shutdown. Not thread-safe.
 */
public final class DrainState {

	private final long balancerLag;

	private final long drainLimit;

	private DrainPhase phase = DrainPhase.RUNNING;

	private long announcedAt;

	private int openRequests;

	private boolean cutOff;

	/**
	 * Creates the state of a running daemon.
	 * @param balancerLag time for which requests are accepted after the signal, in
	 * nanoseconds
	 * @param drainLimit time after the signal at which the process ends in any case, in
	 * nanoseconds, longer than the lag
	 */
	public DrainState(long balancerLag, long drainLimit) {
		Invariant.check(balancerLag >= 0 && drainLimit > balancerLag,
				"the drain deadline must be longer than the balancer's lag");
		this.balancerLag = balancerLag;
		this.drainLimit = drainLimit;
	}

	/**
	 * Returns the phase as of the last event.
	 * @return the phase
	 */
	public DrainPhase phase() {
		return this.phase;
	}

	/**
	 * Returns whether the process ended with requests open.
	 * @return {@code true} after a second signal or the deadline with requests open
	 */
	public boolean isCutOff() {
		return this.cutOff;
	}

	/**
	 * Takes a signal to end. The second one ends the process at once.
	 * @param now the current time
	 */
	public void onSignal(long now) {
		if (this.phase == DrainPhase.RUNNING) {
			this.announcedAt = now;
			enter(DrainPhase.ANNOUNCED);
			return;
		}
		end();
	}

	/**
	 * Takes the passing of time.
	 * @param now the current time
	 */
	public void onTime(long now) {
		if (this.phase == DrainPhase.RUNNING) {
			return;
		}
		long elapsed = now - this.announcedAt;
		if (this.phase == DrainPhase.ANNOUNCED && elapsed >= this.balancerLag) {
			enter(DrainPhase.REFUSING);
		}
		if (elapsed >= this.drainLimit || (this.phase == DrainPhase.REFUSING && this.openRequests == 0)) {
			end();
		}
	}

	/**
	 * Asks for the admission of a request, which is open from then on.
	 * @return {@code false} if the request is to be refused as not run
	 */
	public boolean tryBegin() {
		if (!this.phase.isAccepting()) {
			return false;
		}
		this.openRequests++;
		return true;
	}

	/**
	 * An admitted request got its final response.
	 */
	public void onRequestEnd() {
		Invariant.check(this.openRequests > 0, "more requests ended than were admitted");
		this.openRequests--;
	}

	private void end() {
		if (this.phase != DrainPhase.ENDED) {
			this.cutOff = this.openRequests > 0;
			enter(DrainPhase.ENDED);
		}
	}

	private void enter(DrainPhase next) {
		Invariant.check(next.compareTo(this.phase) > 0, "the drain phase went from " + this.phase + " to " + next);
		this.phase = next;
	}

}
