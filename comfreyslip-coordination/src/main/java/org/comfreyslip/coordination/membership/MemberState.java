package org.comfreyslip.coordination.membership;

import org.comfreyslip.coordination.membership.MemberReport.Phase;

/**
 * State of a member in this daemon's view.
 */
public enum MemberState {

	/** A new heartbeat arrived within the last {@link #SUSPECT_NANOS}. */
	ALIVE(true, true),

	/** The member announced that it accepts no new requests. */
	DRAINING(true, false),

	/** The heartbeat has not advanced for {@link #SUSPECT_NANOS}. */
	SUSPECT(true, true),

	/** The heartbeat has not advanced for {@link #DEAD_NANOS}. */
	DEAD(false, false),

	/** The member announced that it has shut down. */
	LEFT(false, false),

	/** The heartbeat has not advanced for {@link #REMOVED_NANOS}. */
	REMOVED(false, false);

	/** Time without a heartbeat after which a member is suspect. */
	public static final long SUSPECT_NANOS = 5_000_000_000L;

	/** Time without a heartbeat after which a member is dead. */
	public static final long DEAD_NANOS = 10_000_000_000L;

	/** Time without a heartbeat after which a member is removed. */
	public static final long REMOVED_NANOS = 60_000_000_000L;

	private final boolean gossipPeer;

	private final boolean canOwnTasks;

	MemberState(boolean gossipPeer, boolean canOwnTasks) {
		this.gossipPeer = gossipPeer;
		this.canOwnTasks = canOwnTasks;
	}

	/**
	 * Returns whether this daemon exchanges membership differences with such a member.
	 * @return {@code true} if the member may still respond
	 */
	public boolean isGossipPeer() {
		return this.gossipPeer;
	}

	/**
	 * Returns whether such a member is ranked as an owner of tasks and counted when the
	 * limits of accounts are shared out. A suspect member still counts, so that a short
	 * delay of its heartbeats moves no tasks.
	 * @return {@code true} if tasks are assigned to the member
	 */
	public boolean canOwnTasks() {
		return this.canOwnTasks;
	}

	static MemberState of(Phase phase, long silenceNanos) {
		if (silenceNanos >= REMOVED_NANOS) {
			return REMOVED;
		}
		if (phase == Phase.LEFT) {
			return LEFT;
		}
		if (silenceNanos >= DEAD_NANOS) {
			return DEAD;
		}
		if (phase == Phase.DRAINING) {
			return DRAINING;
		}
		return (silenceNanos >= SUSPECT_NANOS) ? SUSPECT : ALIVE;
	}

}
