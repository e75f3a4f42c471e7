package org.comfreyslip.entry.layers;

import java.util.concurrent.TimeUnit;

/**
 * Lease under which this daemon is the leader of layer placement. The store elects one
 * member of a group as leader and numbers each change of the group; that number is the
 * fencing token. The lease runs from the time at which the renewal was sent.
 */
public final class LeaderLease {

	/**
	 * Length of the lease that is requested, in ms: long enough to survive a few lost
	 * renewals, short enough for a takeover within the recovery bounds.
	 */
	public static final long TTL_MS = 3_000;

	/** Time between renewals, in ms. */
	public static final long RENEWAL_INTERVAL_MS = 900;

	/**
	 * Time before the end of the lease at which it is treated as expired, in ns; covers
	 * an order that is still in transit.
	 */
	private static final long SAFETY_MARGIN_NANOS = TimeUnit.MILLISECONDS.toNanos(500);

	/** Whether this daemon was the leader at the last renewal. */
	private boolean leader;

	private long generation;

	/** Highest fencing token that an engine has rejected. */
	private long highestRejectedGeneration;

	/** Elapsed time in ns at which the last renewal with a response was sent. */
	private long renewalSentNanos;

	/**
	 * Records the response to a renewal.
	 * @param isLeader whether this daemon is the leader
	 * @param newGeneration the number of the group's last change
	 * @param sentAtNanos when the renewal was sent, in elapsed ns
	 */
	public void onMembership(boolean isLeader, long newGeneration, long sentAtNanos) {
		this.leader = isLeader;
		this.generation = newGeneration;
		this.renewalSentNanos = sentAtNanos;
	}

	/**
	 * Records that an engine rejected an order because it has seen a higher fencing
	 * token. No order is given again under this token or a lower one.
	 * @param token the token of the rejected order
	 */
	public void recordRejectedToken(long token) {
		this.highestRejectedGeneration = Math.max(this.highestRejectedGeneration, token);
	}

	/**
	 * Tells whether orders may be given.
	 * @param nowNanos the current elapsed time in ns
	 * @return whether this daemon is the leader, the lease has not expired and no engine
	 * has rejected its token
	 */
	public boolean isHeld(long nowNanos) {
		long remainingNanos = TimeUnit.MILLISECONDS.toNanos(TTL_MS) - SAFETY_MARGIN_NANOS
				- (nowNanos - this.renewalSentNanos);
		return this.leader && remainingNanos > 0 && this.generation > this.highestRejectedGeneration;
	}

	/**
	 * Returns the number of the group's last change, which is the fencing token.
	 * @return the number that the store last reported; 0 before the first response
	 */
	public long generation() {
		return this.generation;
	}

}
