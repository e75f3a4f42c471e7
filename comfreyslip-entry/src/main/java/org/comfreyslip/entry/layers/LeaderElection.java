package org.comfreyslip.entry.layers;

import java.util.Optional;
import java.util.function.Consumer;

/**
 * Membership of the group in which the store elects the leader of layer placement. Only
 * the leader orders engines to hold layers.
 */
public interface LeaderElection {

	/**
	 * Joins the group, or renews the membership.
	 * @param generation the generation that the store last reported in its present era; 0
	 * before the first response
	 * @param ttlMs time without a renewal after which the store drops this member, in ms
	 * @param callback takes the membership; empty if the store sent no response or one
	 * that cannot be decoded
	 */
	void join(long generation, long ttlMs, Consumer<Optional<Membership>> callback);

	/** Leaves the group, so that another member can become leader at once. */
	void leave();

	/**
	 * This member's place in the group, as the store reports it.
	 *
	 * @param era how often the store has gone back to an older copy of its records
	 * @param generation number of the group's last change; increases within an era
	 * @param isLeader whether this member is the leader
	 */
	record Membership(long era, long generation, boolean isLeader) {
	}

}
