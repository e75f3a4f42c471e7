package org.comfreyslip.coordination.lease;

import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.function.Supplier;

import org.comfreyslip.coordination.CodedException;
import org.comfreyslip.coordination.ErrorCode;
import org.comfreyslip.coordination.Invariant;
import org.comfreyslip.coordination.lease.LeaseRecord.Acquire;
import org.comfreyslip.coordination.lease.LeaseRecord.Renew;
import org.comfreyslip.coordination.lease.LeaseRecord.Resign;

/**
 * State machine of one contender for one lease, whether it holds the lease or not. It
 * requests the lease when it has seen no renewal for the lease time, and renews it while
 * it holds it. It treats the lease as valid only until the send time of its last accepted
 * renewal plus the lease time minus the margin. After a pause of the process the log has
 * to be read to its tail before the lease counts as valid again. At most one append is in
 * flight. The caller folds the stream with {@link LeaseFold} and reports each record of
 * this lease. Not thread-safe.
 */
public final class LeaseHolder {

	private final String name;

	private final String holder;

	private final LeaseTiming timing;

	private final Supplier<String> nonces;

	private final Map<Long, Long> renewalSentAtNanos = new HashMap<>();

	private LeaseState observedState = LeaseState.unheld(false);

	private long lastAcceptedAtNanos;

	private Acquire pendingAcquire;

	private long acquireSentAtNanos;

	private boolean appendInFlight;

	private long retryAtNanos;

	private boolean held;

	private long fencingToken = LeaseRecord.NONE;

	private long heldSinceNanos;

	private long deadlineNanos;

	private long nextRenewalNanos;

	private long renewalSequence;

	private long lastCallNanos;

	private boolean logReadNeeded;

	private long logReadNeededSinceNanos;

	/**
	 * Creates a contender.
	 * @param name the lease's name
	 * @param holder the contender's name, unique among live processes
	 * @param timing the durations, equal in all contenders
	 * @param nonces returns a value unique among all requests for the lease
	 * @param nowNanos monotonic time in nanoseconds
	 */
	public LeaseHolder(String name, String holder, LeaseTiming timing, Supplier<String> nonces, long nowNanos) {
		this.name = name;
		this.holder = holder;
		this.timing = timing;
		this.nonces = nonces;
		this.lastAcceptedAtNanos = nowNanos;
		this.lastCallNanos = nowNanos;
		this.retryAtNanos = nowNanos;
		this.logReadNeeded = true;
		this.logReadNeededSinceNanos = nowNanos;
	}

	/**
	 * Advances the time and returns the record to append. The caller appends it at once
	 * and reports {@link #onAppended} or {@link #onAppendFailed}.
	 * @param nowNanos monotonic time in nanoseconds
	 * @return the record, empty if there is nothing to append now
	 */
	public Optional<LeaseRecord> nextRecord(long nowNanos) {
		detectPause(nowNanos);
		if (this.held && nowNanos - this.deadlineNanos >= 0) {
			endHold();
		}
		if (this.appendInFlight || this.logReadNeeded || nowNanos - this.retryAtNanos < 0) {
			return Optional.empty();
		}
		return this.held ? nextRenew(nowNanos) : nextAcquire(nowNanos);
	}

	/**
	 * Returns whether orders may be sent under the lease.
	 * @param nowNanos monotonic time in nanoseconds
	 * @return {@code true} if the lease is held, its deadline has not passed, and the log
	 * was read to its tail since the last pause of the process
	 */
	public boolean isValid(long nowNanos) {
		return this.held && !this.logReadNeeded && !isPause(nowNanos) && nowNanos - this.deadlineNanos < 0;
	}

	/**
	 * Returns the fencing token for an order.
	 * @param nowNanos monotonic time in nanoseconds
	 * @return the log offset of the accepted request for the lease
	 * @throws CodedException with {@link ErrorCode#STALE_FENCE} if the lease is not valid
	 */
	public long fencingToken(long nowNanos) {
		if (!isValid(nowNanos)) {
			throw new CodedException(ErrorCode.STALE_FENCE, "lease '" + this.name + "' is not held");
		}
		return this.fencingToken;
	}

	/**
	 * Returns when this process learned that it holds the lease. Every order of an
	 * earlier holder was sent before.
	 * @return monotonic time in nanoseconds; meaningless before the lease was first held
	 */
	public long heldSinceNanos() {
		return this.heldSinceNanos;
	}

	/**
	 * Records that the log acknowledged the append. Whether the record is accepted
	 * follows from reading the log.
	 */
	public void onAppended() {
		this.appendInFlight = false;
	}

	/**
	 * Records that the log refused the append or that its outcome is unknown. The record
	 * may be in the log.
	 * @param nowNanos monotonic time in nanoseconds
	 */
	public void onAppendFailed(long nowNanos) {
		this.appendInFlight = false;
		this.retryAtNanos = nowNanos + this.timing.renewalIntervalNanos() / 2;
		this.nextRenewalNanos = this.retryAtNanos;
	}

	/**
	 * Processes a record of this lease that was read from the log.
	 * @param nowNanos monotonic time in nanoseconds
	 * @param record the record, of any contender
	 * @param verdict the fold's verdict on the record
	 * @param state the lease's state after the record
	 */
	public void onRecord(long nowNanos, LeaseRecord record, LeaseVerdict verdict, LeaseState state) {
		if (verdict == LeaseVerdict.ACCEPTED) {
			Invariant.check(state.fencingToken() >= this.fencingToken, "the fencing token of lease '" + this.name
					+ "' went from " + this.fencingToken + " down to " + state.fencingToken());
			this.observedState = state;
			this.lastAcceptedAtNanos = nowNanos;
			onAccepted(nowNanos, record, state);
		}
		if (record instanceof Acquire && record.equals(this.pendingAcquire)) {
			this.pendingAcquire = null;
		}
	}

	/**
	 * Processes the end of a log read that reached the log's tail.
	 * @param readStartedNanos when the read was sent, monotonic time in nanoseconds
	 * @param state the fold's state of this lease after the read
	 */
	public void onReadToTail(long readStartedNanos, LeaseState state) {
		if (this.logReadNeeded && readStartedNanos - this.logReadNeededSinceNanos >= 0) {
			this.logReadNeeded = false;
			this.observedState = state;
		}
	}

	/**
	 * Resigns the lease. It is not valid from now on.
	 * @return the record to append, empty if the lease was not held
	 */
	public Optional<LeaseRecord> resign() {
		if (!this.held) {
			return Optional.empty();
		}
		endHold();
		return Optional.of(new Resign(this.name, this.holder, this.fencingToken));
	}

	private void detectPause(long nowNanos) {
		if (isPause(nowNanos)) {
			this.logReadNeeded = true;
			this.logReadNeededSinceNanos = nowNanos;
		}
		this.lastCallNanos = nowNanos;
	}

	private boolean isPause(long nowNanos) {
		return nowNanos - this.lastCallNanos > this.timing.pauseThresholdNanos();
	}

	private Optional<LeaseRecord> nextRenew(long nowNanos) {
		if (nowNanos - this.nextRenewalNanos < 0) {
			return Optional.empty();
		}
		this.renewalSequence++;
		this.renewalSentAtNanos.put(this.renewalSequence, nowNanos);
		this.nextRenewalNanos = nowNanos + this.timing.renewalIntervalNanos();
		this.appendInFlight = true;
		return Optional.of(new Renew(this.name, this.holder, this.fencingToken, this.renewalSequence));
	}

	private Optional<LeaseRecord> nextAcquire(long nowNanos) {
		if (this.pendingAcquire != null) {
			return appendPendingAcquire();
		}
		if (!mayContend(nowNanos)) {
			return Optional.empty();
		}
		this.pendingAcquire = new Acquire(this.name, this.holder, this.nonces.get(), this.observedState.fencingToken(),
				this.observedState.lastRenewal());
		this.acquireSentAtNanos = nowNanos;
		return appendPendingAcquire();
	}

	private Optional<LeaseRecord> appendPendingAcquire() {
		this.appendInFlight = true;
		return Optional.of(this.pendingAcquire);
	}

	// While the observed state is not proven, there may be a holder whose renewals were
	// trimmed from the log. The contender then waits for the lease time as if it had just
	// seen a renewal.
	private boolean mayContend(long nowNanos) {
		boolean free = this.observedState.isFree() && this.observedState.proven();
		return free || nowNanos - this.lastAcceptedAtNanos >= this.timing.leaseNanos();
	}

	private void onAccepted(long nowNanos, LeaseRecord record, LeaseState state) {
		if (record instanceof Acquire && record.equals(this.pendingAcquire)) {
			startHold(nowNanos, state.fencingToken());
			return;
		}
		// The pending request names a state that is no longer current, so that a delayed
		// append of it is not accepted either.
		this.pendingAcquire = null;
		if (this.held && state.fencingToken() != this.fencingToken) {
			endHold();
		}
		else if (this.held && record instanceof Renew renew && renew.fence() == this.fencingToken) {
			extendDeadline(renew.sequence());
		}
	}

	private void startHold(long nowNanos, long acquiredToken) {
		Invariant.check(acquiredToken > this.fencingToken,
				"lease '" + this.name + "' was acquired with the old fencing token " + acquiredToken);
		this.held = true;
		this.fencingToken = acquiredToken;
		this.heldSinceNanos = nowNanos;
		this.deadlineNanos = trustedUntil(this.acquireSentAtNanos);
		this.nextRenewalNanos = nowNanos;
	}

	private void extendDeadline(long renewed) {
		Long sentAtNanos = this.renewalSentAtNanos.get(renewed);
		if (sentAtNanos != null) {
			this.deadlineNanos = Math.max(this.deadlineNanos, trustedUntil(sentAtNanos));
			this.renewalSentAtNanos.keySet().removeIf((earlier) -> earlier <= renewed);
		}
	}

	private long trustedUntil(long sentAtNanos) {
		return sentAtNanos + this.timing.leaseNanos() - this.timing.marginNanos();
	}

	private void endHold() {
		this.held = false;
		this.renewalSentAtNanos.clear();
	}

}
