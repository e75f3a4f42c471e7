package org.comfreyslip.coordination.membership;

import org.comfreyslip.coordination.membership.MemberReport.Phase;

/**
 * State of a member as this daemon sees it.
 */
public enum MemberState {

	/** The heartbeat advances. */
	ALIVE(true, true),

	/** The member announced that it takes no new requests. */
	DRAINING(true, false),

	/** The heartbeat has not advanced for {@link #SUSPECT_NANOS}. */
	SUSPECT(true, true),

	/** The heartbeat has not advanced for {@link #DEAD_NANOS}. */
	DEAD(false, false),

	/** The member announced its end. */
	LEFT(false, false),

	/** The heartbeat has not advanced for {@link #REMOVED_NANOS}. */
	REMOVED(false, false);

	/** Time without a heartbeat after which a member is suspect. */
	public static final long SUSPECT_NANOS = 5_000_000_000L;

	/** Time without a heartbeat after which a member is dead. */
	public static final long DEAD_NANOS = 10_000_000_000L;

	/** Time without a heartbeat after which a member is removed. */
	public static final long REMOVED_NANOS = 60_000_000_000L;

	private final boolean exchangePeer;

	private final boolean owner;

	MemberState(boolean exchangePeer, boolean owner) {
		this.exchangePeer = exchangePeer;
		this.owner = owner;
	}

	/**
	 * Returns whether differences are exchanged with such a member.
	 * @return {@code true} if the member may answer
	 */
	public boolean isExchangePeer() {
		return this.exchangePeer;
	}

	/**
	 * Returns whether such a member counts for rankings and for the shares of accounts. A
	 * suspect member still counts, so that a short delay moves no tasks.
	 * @return {@code true} if the member takes tasks
	 */
	public boolean isOwner() {
		return this.owner;
	}

	static MemberState of(Phase phase, long silence) {
		if (silence >= REMOVED_NANOS) {
			return REMOVED;
		}
		if (phase == Phase.LEFT) {
			return LEFT;
		}
		if (silence >= DEAD_NANOS) {
			return DEAD;
		}
		if (phase == Phase.DRAINING) {
			return DRAINING;
		}
		return (silence >= SUSPECT_NANOS) ? SUSPECT : ALIVE;
	}

}
