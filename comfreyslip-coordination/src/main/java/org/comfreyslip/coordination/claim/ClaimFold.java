package org.comfreyslip.coordination.claim;

import java.util.TreeMap;

import org.comfreyslip.coordination.CodedException;
import org.comfreyslip.coordination.ErrorCode;

/**
 * The replicated state of one claim stream: which of its keys are claimed and which have
 * an outcome. It is computed by applying the batches of the stream in the order of their
 * offsets, so all folds that have read the same offsets and are complete for a key have
 * the same state for it.
 * <p>
 * One lower bound on the creation time of keys covers all records that the fold does not
 * have: those trimmed before it started, those trimmed while its process was paused, and
 * those dropped because of age or size. The fold is complete only for keys created at or
 * after {@link #completeFromEpochMillis()}. The bound never decreases, so a clock that is
 * set back cannot make a dropped key look unused.
 * <p>
 * Not thread-safe; guarded by the caller's lock on the claim folds.
 */
public final class ClaimFold {

	private final IdempotencyKeyPolicy policy;

	private final int maxKeys;

	private final TreeMap<ClaimKey, ClaimEntry> entries = new TreeMap<>();

	private boolean started;

	private long nextOffset;

	private long tailAtStart;

	private long completeFromEpochMillis = Long.MIN_VALUE;

	private long caughtUpEpochMillis = Long.MIN_VALUE;

	/**
	 * Creates a fold that has read nothing.
	 * @param policy the window and the retention of the log
	 * @param maxKeys the number of keys to keep. Beyond it the oldest are dropped, and
	 * the fold is no longer complete for keys of their age.
	 */
	public ClaimFold(IdempotencyKeyPolicy policy, int maxKeys) {
		this.policy = policy;
		this.maxKeys = maxKeys;
	}

	/**
	 * Updates the bounds of the log. Must be called for each read response before its
	 * batches are applied.
	 * @param head the oldest retained offset
	 * @param tail the offset that the next append will get
	 * @param nowEpochMillis the current time in milliseconds since the epoch, taken after
	 * the response was received
	 */
	public void updateLogBounds(long head, long tail, long nowEpochMillis) {
		if (!this.started) {
			startReadingAt(head, tail, nowEpochMillis);
		}
		else if (head > this.nextOffset) {
			skipTrimmed(head, nowEpochMillis);
		}
		if (this.nextOffset >= tail) {
			this.caughtUpEpochMillis = nowEpochMillis;
		}
		expire(nowEpochMillis);
	}

	private void startReadingAt(long head, long tail, long nowEpochMillis) {
		this.started = true;
		this.nextOffset = head;
		this.tailAtStart = tail;
		if (head > 0) {
			raiseCompleteFrom(this.policy.newestTrimmedKeyEpochMillis(nowEpochMillis));
		}
	}

	private void skipTrimmed(long head, long nowEpochMillis) {
		// The records that were skipped were appended after the last read to the end of
		// the stream. If that read is less than the retention ago, the log trims earlier
		// than its settings state, and the fold is complete only for keys that cannot
		// have been claimed yet.
		boolean trimmedEarly = this.caughtUpEpochMillis > nowEpochMillis - this.policy.retentionMillis();
		raiseCompleteFrom(trimmedEarly ? this.policy.newestClaimableKeyEpochMillis(nowEpochMillis)
				: this.policy.newestTrimmedKeyEpochMillis(nowEpochMillis));
		this.nextOffset = head;
	}

	/**
	 * Applies the batch at an offset. An offset that was applied before is ignored.
	 * @param offset the offset of the batch
	 * @param batch the batch
	 * @throws CodedException with {@link ErrorCode#INVARIANT_VIOLATED} if an offset was
	 * skipped
	 */
	public void apply(long offset, ClaimBatch batch) {
		if (!this.started || offset > this.nextOffset) {
			throw new CodedException(ErrorCode.INVARIANT_VIOLATED,
					"claim batch at offset " + offset + " applied while " + this.nextOffset + " is next");
		}
		if (offset < this.nextOffset) {
			return;
		}
		batch.records().forEach(this::apply);
		this.nextOffset = offset + 1;
		dropBeyondMaxKeys();
	}

	private void apply(ClaimRecord record) {
		ClaimKey key = record.key();
		if (key.timestampEpochMillis() < this.completeFromEpochMillis) {
			return;
		}
		if (record instanceof ClaimRecord.Claim) {
			this.entries.computeIfAbsent(key, (absent) -> new ClaimEntry());
		}
		ClaimEntry entry = this.entries.get(key);
		if (entry != null) {
			entry.apply(record);
		}
	}

	private void dropBeyondMaxKeys() {
		while (this.entries.size() > this.maxKeys) {
			raiseCompleteFrom(this.entries.firstKey().timestampEpochMillis() + 1);
		}
	}

	/**
	 * Drops the keys that are too old to be accepted by any daemon.
	 * @param nowEpochMillis the current time in milliseconds since the epoch
	 */
	public void expire(long nowEpochMillis) {
		raiseCompleteFrom(this.policy.oldestKeptKeyEpochMillis(nowEpochMillis));
	}

	private void raiseCompleteFrom(long epochMillis) {
		this.completeFromEpochMillis = Math.max(this.completeFromEpochMillis, epochMillis);
		while (!this.entries.isEmpty()
				&& this.entries.firstKey().timestampEpochMillis() < this.completeFromEpochMillis) {
			this.entries.pollFirstEntry();
		}
	}

	/**
	 * Returns the state of a key.
	 * @param key the key
	 * @param nonce the nonce of the attempt that queries the key
	 * @return the state before the batch at {@link #nextOffset()}
	 */
	public ClaimView view(ClaimKey key, String nonce) {
		boolean complete = isCompleteFor(key);
		ClaimEntry entry = this.entries.get(key);
		if (entry == null) {
			return new ClaimView(ClaimStatus.FREE, complete, null, null, false, false);
		}
		return entry.view(nonce, complete);
	}

	/**
	 * Returns whether the fold has every record below {@link #nextOffset()} that can
	 * concern a key, and has read at least to the end that the stream had at the first
	 * read.
	 * @param key the key
	 * @return {@code false} if the state of the key could be wrong
	 */
	public boolean isCompleteFor(ClaimKey key) {
		return this.started && this.nextOffset >= this.tailAtStart
				&& key.timestampEpochMillis() >= this.completeFromEpochMillis;
	}

	/**
	 * Returns the offset to read next.
	 * @return the lowest offset that has not been applied
	 */
	public long nextOffset() {
		return this.nextOffset;
	}

	/**
	 * Returns the lower bound of the keys for which the fold is complete.
	 * @return the creation time of the oldest such key, in milliseconds since the epoch,
	 * or {@link Long#MIN_VALUE} before the first read
	 */
	public long completeFromEpochMillis() {
		return this.completeFromEpochMillis;
	}

	/**
	 * Returns the number of keys in memory.
	 * @return a number from 0 to the maximum given on construction
	 */
	public int size() {
		return this.entries.size();
	}

}
