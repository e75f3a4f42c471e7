package org.comfreyslip.coordination.lease;

import java.util.HashMap;
import java.util.Map;

import org.comfreyslip.coordination.Invariant;
import org.comfreyslip.coordination.lease.LeaseRecord.Acquire;
import org.comfreyslip.coordination.lease.LeaseRecord.Renew;
import org.comfreyslip.coordination.lease.LeaseRecord.Resign;

/**
 * Folds the log stream {@code leases}. Folds that read from the log's start agree after
 * each offset. A fold that starts later agrees on a lease once it has read a renewal of
 * its current holder, provided that no append is delayed for longer than the retention.
 * Not thread-safe.
 */
public final class LeaseFold {

	private final Map<String, LeaseState> states = new HashMap<>();

	private final boolean complete;

	private long nextOffset;

	/**
	 * Creates a fold.
	 * @param firstOffset the first offset that will be read; 0 for the log's start
	 */
	public LeaseFold(long firstOffset) {
		this.complete = firstOffset == 0;
		this.nextOffset = firstOffset;
	}

	/**
	 * Returns the offset to read next.
	 * @return the offset
	 */
	public long nextOffset() {
		return this.nextOffset;
	}

	/**
	 * Returns the state of a lease.
	 * @param name the lease's name
	 * @return the state
	 */
	public LeaseState state(String name) {
		LeaseState known = this.states.get(name);
		return (known != null) ? known : LeaseState.unheld(this.complete);
	}

	/**
	 * Applies the next record.
	 * @param offset the record's offset
	 * @param record the record
	 * @return the verdict
	 */
	public LeaseVerdict apply(long offset, LeaseRecord record) {
		skip(offset);
		if (record instanceof Acquire acquire) {
			return acquire(offset, acquire);
		}
		if (record instanceof Renew renew) {
			return renew(offset, renew);
		}
		return resign(offset, (Resign) record);
	}

	/**
	 * Passes over an offset whose bytes are no record of this program.
	 * @param offset the offset, exactly the next one
	 */
	public void skip(long offset) {
		Invariant.check(offset == this.nextOffset,
				"lease offset " + offset + " was read instead of " + this.nextOffset);
		this.nextOffset = offset + 1;
	}

	private LeaseVerdict acquire(long offset, Acquire acquire) {
		LeaseState state = state(acquire.name());
		if (acquire.previousFence() >= offset || acquire.lastRenewal() >= offset) {
			return LeaseVerdict.DAMAGED;
		}
		if (!state.nonce().isEmpty() && state.nonce().equals(acquire.nonce())) {
			return LeaseVerdict.DUPLICATE;
		}
		boolean first = !state.proven() && state.fence() == LeaseRecord.NONE;
		if (!first && (acquire.previousFence() != state.fence() || acquire.lastRenewal() != state.lastRenewal())) {
			return LeaseVerdict.REFUSED;
		}
		put(acquire.name(), new LeaseState(acquire.holder(), acquire.nonce(), offset, offset, false, state.proven()));
		return LeaseVerdict.ACCEPTED;
	}

	private LeaseVerdict renew(long offset, Renew renew) {
		LeaseState state = state(renew.name());
		if (renew.fence() >= offset) {
			return LeaseVerdict.DAMAGED;
		}
		if (isCurrent(state, renew.holder(), renew.fence())) {
			put(renew.name(), state.renewedAt(offset));
			return LeaseVerdict.ACCEPTED;
		}
		if (!state.proven() && renew.fence() > state.fence()) {
			put(renew.name(), new LeaseState(renew.holder(), "", renew.fence(), offset, false, true));
			return LeaseVerdict.ACCEPTED;
		}
		return LeaseVerdict.REFUSED;
	}

	private LeaseVerdict resign(long offset, Resign resign) {
		LeaseState state = state(resign.name());
		if (!isCurrent(state, resign.holder(), resign.fence())) {
			return LeaseVerdict.REFUSED;
		}
		put(resign.name(), state.resignedAt(offset));
		return LeaseVerdict.ACCEPTED;
	}

	private boolean isCurrent(LeaseState state, String holder, long fence) {
		return !state.isFree() && state.fence() == fence && state.holder().equals(holder);
	}

	private void put(String name, LeaseState next) {
		LeaseState previous = state(name);
		Invariant.check(next.fence() >= previous.fence(), "the fencing number of lease '" + name + "' went from "
				+ previous.fence() + " down to " + next.fence());
		Invariant.check(next.lastRenewal() > previous.lastRenewal(),
				"the last renewal of lease '" + name + "' went from " + previous.lastRenewal() + " back");
		this.states.put(name, next);
	}

}
