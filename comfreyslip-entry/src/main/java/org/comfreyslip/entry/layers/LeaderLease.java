package org.comfreyslip.entry.layers;

import java.util.concurrent.TimeUnit;

/**
 * Lease under which this daemon is the leader of layer placement. The store elects one
 * member of a group as leader and numbers each change of the group. The number may
 * decrease when the store goes back to an older copy, so the fencing token is made of the
 * era of the store and that number. The lease runs from the time at which the renewal was
 * sent.
 */
public final class LeaderLease implements OrderPermission {

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

	/** Factor of the era in a fencing token; more than the changes of a group. */
	private static final long TOKENS_PER_ERA = 1L << 32;

	/** Whether this daemon was the leader at the last renewal. */
	private boolean leader;

	private long era;

	private long generation;

	/** Highest fencing token that an engine has rejected. */
	private long highestRejectedToken;

	/** Elapsed time in ns at which the last renewal with a response was sent. */
	private long renewalSentNanos;

	/**
	 * Records the response to a renewal. A response from before the store went back is
	 * ignored.
	 * @param membership this daemon's place in the group
	 * @param sentAtNanos when the renewal was sent, in elapsed ns
	 */
	public void onMembership(LeaderElection.Membership membership, long sentAtNanos) {
		if (membership.era() < this.era) {
			return;
		}
		this.leader = membership.isLeader();
		this.era = membership.era();
		this.generation = membership.generation();
		this.renewalSentNanos = sentAtNanos;
	}

	/**
	 * Ends a lease that the store granted before it went back to an older copy: it may
	 * have another leader now.
	 * @param newEra the present era of the store
	 */
	public void onStoreWentBack(long newEra) {
		if (newEra > this.era) {
			this.leader = false;
			this.era = newEra;
			this.generation = 0;
		}
	}

	/** Gives the leadership up. */
	public void resign() {
		this.leader = false;
	}

	@Override
	public void recordRejectedToken(long token) {
		this.highestRejectedToken = Math.max(this.highestRejectedToken, token);
	}

	@Override
	public boolean holdsDuty(long nowNanos) {
		return mayOrder(nowNanos);
	}

	/**
	 * Tells whether orders may be given.
	 * @param nowNanos the current elapsed time in ns
	 * @return whether this daemon is the leader, the lease has not expired and no engine
	 * has rejected its token
	 */
	@Override
	public boolean mayOrder(long nowNanos) {
		long remainingNanos = TimeUnit.MILLISECONDS.toNanos(TTL_MS) - SAFETY_MARGIN_NANOS
				- (nowNanos - this.renewalSentNanos);
		return this.leader && remainingNanos > 0 && fencingToken() > this.highestRejectedToken;
	}

	/**
	 * Tells whether the store named this daemon the leader in its last response.
	 * @return whether it did, also if the lease has expired since
	 */
	public boolean isLeader() {
		return this.leader;
	}

	/**
	 * Returns the fencing token of the orders of this daemon. It increases with each
	 * change of the group, also when the store goes back to an older copy.
	 * @return the token
	 */
	@Override
	public long fencingToken() {
		return this.era * TOKENS_PER_ERA + this.generation;
	}

	@Override
	public String reason() {
		return (this.leader) ? "elected by the store's group" : "not the leader of the store's group";
	}

	/**
	 * Returns the number of the group's last change.
	 * @return the number that the store last reported in its present era; 0 before the
	 * first response
	 */
	public long generation() {
		return this.generation;
	}

}
