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
 * State machine of one contender for one lease. It asks for the lease after it has seen
 * no renewal for the lease time, renews it, and trusts it only until the send time of the
 * last accepted renewal plus the lease time minus the margin. After a pause it reads the
 * log before it trusts the lease again. At most one append is in flight. The caller folds
 * the stream with {@link LeaseFold} and reports each record of this lease. Not
 * thread-safe.
 */
public final class LeaseHolder {

	private final String name;

	private final String holder;

	private final LeaseTiming timing;

	private final Supplier<String> nonces;

	private final Map<Long, Long> renewalsSent = new HashMap<>();

	private LeaseState seen = LeaseState.unheld(false);

	private long seenChangedAt;

	private Acquire request;

	private long requestSentAt;

	private boolean inFlight;

	private long retryAt;

	private boolean held;

	private long fence = LeaseRecord.NONE;

	private long heldSince;

	private long deadline;

	private long nextRenewal;

	private long sequence;

	private long lastCall;

	private boolean pauseUnchecked;

	private long checkFrom;

	/**
	 * Creates a contender.
	 * @param name the lease's name
	 * @param holder the contender's name, unique among live processes
	 * @param timing the durations
	 * @param nonces source of unique values
	 * @param now the current time
	 */
	public LeaseHolder(String name, String holder, LeaseTiming timing, Supplier<String> nonces, long now) {
		this.name = name;
		this.holder = holder;
		this.timing = timing;
		this.nonces = nonces;
		this.seenChangedAt = now;
		this.lastCall = now;
		this.retryAt = now;
		this.pauseUnchecked = true;
		this.checkFrom = now;
	}

	/**
	 * Advances the time and returns the record to append. The caller appends it at once;
	 * if it cannot, it reports {@link #onAppendFailed}.
	 * @param now the current time
	 * @return the record, empty if there is nothing to append
	 */
	public Optional<LeaseRecord> next(long now) {
		noticePause(now);
		if (this.held && now - this.deadline >= 0) {
			lose();
		}
		if (this.inFlight || this.pauseUnchecked || now - this.retryAt < 0) {
			return Optional.empty();
		}
		return this.held ? renewal(now) : request(now);
	}

	/**
	 * Returns whether orders may be given under the lease.
	 * @param now the current time
	 * @return {@code true} if the lease is held, the deadline has not passed, and the log
	 * was read since the last pause
	 */
	public boolean isValid(long now) {
		return this.held && !this.pauseUnchecked && !isPause(now) && now - this.deadline < 0;
	}

	/**
	 * Returns the fencing number for an order.
	 * @param now the current time
	 * @return the fencing number
	 * @throws CodedException with {@link ErrorCode#STALE_FENCE} if the lease is not valid
	 */
	public long fence(long now) {
		if (!isValid(now)) {
			throw new CodedException(ErrorCode.STALE_FENCE, "lease '" + this.name + "' is not held");
		}
		return this.fence;
	}

	/**
	 * Returns when this process learned that it holds the lease. Every order of an
	 * earlier holder was sent before.
	 * @return the time
	 */
	public long heldSince() {
		return this.heldSince;
	}

	/**
	 * The append was answered. The verdict follows from the log.
	 */
	public void onAppended() {
		this.inFlight = false;
	}

	/**
	 * The append was refused or its answer was lost. The record may be in the log.
	 * @param now the current time
	 */
	public void onAppendFailed(long now) {
		this.inFlight = false;
		this.retryAt = now + this.timing.renewal() / 2;
		this.nextRenewal = this.retryAt;
	}

	/**
	 * Takes a record of this lease and the state after it.
	 * @param now the current time
	 * @param record the record
	 * @param verdict the fold's verdict
	 * @param state the state after the record
	 */
	public void onRecord(long now, LeaseRecord record, LeaseVerdict verdict, LeaseState state) {
		if (verdict == LeaseVerdict.ACCEPTED) {
			Invariant.check(state.fence() >= this.fence, "the fencing number of lease '" + this.name + "' went from "
					+ this.fence + " down to " + state.fence());
			this.seen = state;
			this.seenChangedAt = now;
			onAccepted(now, record, state);
		}
		if (record instanceof Acquire && record.equals(this.request)) {
			this.request = null;
		}
	}

	/**
	 * Takes the end of a log read that reached the log's tail.
	 * @param readStarted when the read was sent
	 * @param state the fold's state of this lease after the read
	 */
	public void onReadToTail(long readStarted, LeaseState state) {
		if (this.pauseUnchecked && readStarted - this.checkFrom >= 0) {
			this.pauseUnchecked = false;
			this.seen = state;
		}
	}

	/**
	 * Gives the lease up. It is not valid from now on.
	 * @return the record to append, empty if the lease was not held
	 */
	public Optional<LeaseRecord> resign() {
		if (!this.held) {
			return Optional.empty();
		}
		lose();
		return Optional.of(new Resign(this.name, this.holder, this.fence));
	}

	private void noticePause(long now) {
		if (isPause(now)) {
			this.pauseUnchecked = true;
			this.checkFrom = now;
		}
		this.lastCall = now;
	}

	private boolean isPause(long now) {
		return now - this.lastCall > this.timing.pause();
	}

	private Optional<LeaseRecord> renewal(long now) {
		if (now - this.nextRenewal < 0) {
			return Optional.empty();
		}
		this.sequence++;
		this.renewalsSent.put(this.sequence, now);
		this.nextRenewal = now + this.timing.renewal();
		this.inFlight = true;
		return Optional.of(new Renew(this.name, this.holder, this.fence, this.sequence));
	}

	private Optional<LeaseRecord> request(long now) {
		if (this.request != null) {
			return sendRequest();
		}
		if (!mayContend(now)) {
			return Optional.empty();
		}
		this.request = new Acquire(this.name, this.holder, this.nonces.get(), this.seen.fence(),
				this.seen.lastRenewal());
		this.requestSentAt = now;
		return sendRequest();
	}

	private Optional<LeaseRecord> sendRequest() {
		this.inFlight = true;
		return Optional.of(this.request);
	}

	// A state that is not proven may hide a holder whose renewals were trimmed, so that
	// the
	// contender waits for the lease time as if it had just seen a renewal.
	private boolean mayContend(long now) {
		boolean free = this.seen.isFree() && this.seen.proven();
		return free || now - this.seenChangedAt >= this.timing.lease();
	}

	private void onAccepted(long now, LeaseRecord record, LeaseState state) {
		if (record instanceof Acquire && record.equals(this.request)) {
			hold(now, state.fence());
			return;
		}
		// The request names a state that is gone, so that no copy of it is accepted
		// later.
		this.request = null;
		if (this.held && state.fence() != this.fence) {
			lose();
		}
		else if (this.held && record instanceof Renew renew && renew.fence() == this.fence) {
			extend(renew.sequence());
		}
	}

	private void hold(long now, long acquired) {
		Invariant.check(acquired > this.fence,
				"lease '" + this.name + "' was acquired with the old number " + acquired);
		this.held = true;
		this.fence = acquired;
		this.heldSince = now;
		this.deadline = trustedUntil(this.requestSentAt);
		this.nextRenewal = now;
	}

	private void extend(long renewed) {
		Long sentAt = this.renewalsSent.get(renewed);
		if (sentAt != null) {
			this.deadline = Math.max(this.deadline, trustedUntil(sentAt));
			this.renewalsSent.keySet().removeIf((earlier) -> earlier <= renewed);
		}
	}

	private long trustedUntil(long sentAt) {
		return sentAt + this.timing.lease() - this.timing.margin();
	}

	private void lose() {
		this.held = false;
		this.renewalsSent.clear();
	}

}
