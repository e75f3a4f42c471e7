package org.comfreyslip.entry.layers;

import java.util.concurrent.TimeUnit;

/**
 * Whether this daemon holds the placement of layers. The store gives the duty to one
 * member of a group and numbers each change of the group; that number is the fencing
 * token. The lease counts from sending the call that renewed it.
 */
public final class DutyLease {

	/**
	 * Lease that is asked for, in ms: a few lost renewals, but a takeover within the
	 * recovery bounds.
	 */
	public static final long TTL_MS = 3_000;

	/** Time between renewals, in ms. */
	public static final long RENEW_MS = 900;

	/**
	 * Time before the end of the lease at which it counts as over, in ns; covers an order
	 * on its way.
	 */
	private static final long MARGIN_NANOS = TimeUnit.MILLISECONDS.toNanos(500);

	private boolean holding;

	private long generation;

	private long fencedGeneration;

	private long renewedNanos;

	/**
	 * Takes the answer to a renewal.
	 * @param holds whether the duty belongs to this daemon
	 * @param newGeneration the number of the group's last change
	 * @param sentNanos when the renewal was sent, in elapsed ns
	 */
	public void onRenewed(boolean holds, long newGeneration, long sentNanos) {
		this.holding = holds;
		this.generation = newGeneration;
		this.renewedNanos = sentNanos;
	}

	/**
	 * Takes an engine's refusal because of a higher fencing token.
	 * @param token the token that was refused
	 */
	public void onFenced(long token) {
		this.fencedGeneration = Math.max(this.fencedGeneration, token);
	}

	/**
	 * Tells whether orders may be given.
	 * @param nowNanos the current elapsed time in ns
	 * @return whether the lease runs and its token was not refused
	 */
	public boolean isHeld(long nowNanos) {
		long leftNanos = TimeUnit.MILLISECONDS.toNanos(TTL_MS) - MARGIN_NANOS - (nowNanos - this.renewedNanos);
		return this.holding && leftNanos > 0 && this.generation > this.fencedGeneration;
	}

	/**
	 * Returns the number of the group's last change, which is the fencing token.
	 * @return the number
	 */
	public long generation() {
		return this.generation;
	}

}
