package org.comfreyslip.entry.layers;

import java.util.Optional;
import java.util.function.Consumer;

/**
 * Membership of the group among whose members the store deals the placement duty.
 */
public interface DutyGroup {

	/**
	 * Joins the group or stays in it.
	 * @param generation the last generation received, 0 at first
	 * @param ttlMs time after which a silent member is dropped, in ms
	 * @param done takes the answer, empty if the store did not answer usably
	 */
	void join(long generation, long ttlMs, Consumer<Optional<Joined>> done);

	/** Leaves the group, so that another member takes over at once. */
	void leave();

	/**
	 * The store's answer.
	 *
	 * @param generation number of the group's last change
	 * @param holdsDuty whether the duty belongs to this member
	 */
	record Joined(long generation, boolean holdsDuty) {
	}

}
