package org.comfreyslip.coordination.lease;

import java.util.HashMap;
import java.util.Map;

import org.comfreyslip.coordination.Invariant;
import org.comfreyslip.coordination.lease.LeaseRecord.Acquire;
import org.comfreyslip.coordination.lease.LeaseRecord.Renew;
import org.comfreyslip.coordination.lease.LeaseRecord.Resign;

/**
 * Folds the log stream {@code leases} into the state of each lease. Folds that read from
 * the log's start have the same state after the same offset. A fold that starts later has
 * the same state of a lease once it has read a renewal by its current holder, provided
 * that no append is delayed for longer than the log's retention. Not thread-safe.
 */
public final class LeaseFold {

	private final Map<String, LeaseState> states = new HashMap<>();

	private final boolean startsAtLogStart;

	private long nextOffset;

	/**
	 * Creates a fold.
	 * @param firstOffset the first offset that will be applied or skipped; 0 for the
	 * log's start
	 */
	public LeaseFold(long firstOffset) {
		this.startsAtLogStart = firstOffset == 0;
		this.nextOffset = firstOffset;
	}

	/**
	 * Returns the offset to read next.
	 * @return the offset after the last one applied or skipped
	 */
	public long nextOffset() {
		return this.nextOffset;
	}

	/**
	 * Returns the state of a lease after the last offset.
	 * @param name the lease's name
	 * @return the state; that of an unheld lease if no record of it was read
	 */
	public LeaseState state(String name) {
		LeaseState known = this.states.get(name);
		return (known != null) ? known : LeaseState.unheld(this.startsAtLogStart);
	}

	/**
	 * Applies the next record.
	 * @param offset the record's log offset, exactly {@link #nextOffset()}
	 * @param record the decoded record at that offset
	 * @return whether the record took effect
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
	 * Skips an offset whose bytes are not a record of this stream.
	 * @param offset the offset, exactly {@link #nextOffset()}
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
		boolean holderUnknown = !state.proven() && state.fencingToken() == LeaseRecord.NONE;
		if (!holderUnknown
				&& (acquire.previousFence() != state.fencingToken() || acquire.lastRenewal() != state.lastRenewal())) {
			return LeaseVerdict.REFUSED;
		}
		replaceState(acquire.name(),
				new LeaseState(acquire.holder(), acquire.nonce(), offset, offset, false, state.proven()));
		return LeaseVerdict.ACCEPTED;
	}

	private LeaseVerdict renew(long offset, Renew renew) {
		LeaseState state = state(renew.name());
		if (renew.fence() >= offset) {
			return LeaseVerdict.DAMAGED;
		}
		if (isCurrent(state, renew.holder(), renew.fence())) {
			replaceState(renew.name(), state.withRenewal(offset));
			return LeaseVerdict.ACCEPTED;
		}
		if (!state.proven() && renew.fence() > state.fencingToken()) {
			replaceState(renew.name(), new LeaseState(renew.holder(), "", renew.fence(), offset, false, true));
			return LeaseVerdict.ACCEPTED;
		}
		return LeaseVerdict.REFUSED;
	}

	private LeaseVerdict resign(long offset, Resign resign) {
		LeaseState state = state(resign.name());
		if (!isCurrent(state, resign.holder(), resign.fence())) {
			return LeaseVerdict.REFUSED;
		}
		replaceState(resign.name(), state.withResignation(offset));
		return LeaseVerdict.ACCEPTED;
	}

	private boolean isCurrent(LeaseState state, String holder, long fence) {
		return !state.isFree() && state.fencingToken() == fence && state.holder().equals(holder);
	}

	private void replaceState(String name, LeaseState next) {
		LeaseState previous = state(name);
		Invariant.check(next.fencingToken() >= previous.fencingToken(), "the fencing token of lease '" + name
				+ "' went from " + previous.fencingToken() + " down to " + next.fencingToken());
		Invariant.check(next.lastRenewal() > previous.lastRenewal(),
				"the last renewal of lease '" + name + "' went from " + previous.lastRenewal() + " back");
		this.states.put(name, next);
	}

}
