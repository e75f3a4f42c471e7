package org.comfreyslip.coordination.claim;

import java.util.TreeMap;

import org.comfreyslip.coordination.CodedException;
import org.comfreyslip.coordination.ErrorCode;

/**
 * The state of the keys of one claim stream, computed from its batches in the order of
 * their offsets. Every fold that has read the same offsets and is complete for a key has
 * the same state for it.
 * <p>
 * One time bound covers all records that the fold does not have: those trimmed before it
 * started, those trimmed while its process was paused, and those dropped because of age
 * or size. The fold is complete only for keys created at or after
 * {@link #completeFromEpochMillis()}. The bound never decreases, so a clock that is set
 * back cannot make a dropped key look unused.
 * <p>
 * Not thread-safe; guarded by the caller's lock on the claim folds.
 */
public final class ClaimFold {

	private final IdempotencyKeyPolicy policy;

	private final int maxKeys;

	private final TreeMap<ClaimKey, ClaimEntry> entries = new TreeMap<>();

	private boolean started;

	private long nextOffset;

	private long firstTail;

	private long completeFrom = Long.MIN_VALUE;

	private long caughtUpAt = Long.MIN_VALUE;

	/**
	 * Creates a fold that has read nothing.
	 * @param policy the window and the retention of the log
	 * @param maxKeys the number of keys to keep. Beyond it the oldest are dropped, and
	 * keys of their age are no longer answered.
	 */
	public ClaimFold(IdempotencyKeyPolicy policy, int maxKeys) {
		this.policy = policy;
		this.maxKeys = maxKeys;
	}

	/**
	 * Takes note of the bounds of the log. Call it for each read response, before its
	 * batches are applied.
	 * @param head the oldest retained offset
	 * @param tail the offset that the next append will get
	 * @param nowEpochMillis the time before which the response was received, in
	 * milliseconds since the epoch
	 */
	public void observe(long head, long tail, long nowEpochMillis) {
		if (!this.started) {
			start(head, tail, nowEpochMillis);
		}
		else if (head > this.nextOffset) {
			skipTrimmed(head, nowEpochMillis);
		}
		if (this.nextOffset >= tail) {
			this.caughtUpAt = nowEpochMillis;
		}
		expire(nowEpochMillis);
	}

	private void start(long head, long tail, long nowEpochMillis) {
		this.started = true;
		this.nextOffset = head;
		this.firstTail = tail;
		if (head > 0) {
			raiseCompleteFrom(this.policy.newestTrimmedKeyEpochMillis(nowEpochMillis));
		}
	}

	private void skipTrimmed(long head, long nowEpochMillis) {
		// Records that were not there at the last complete read and are gone within the
		// retention show that the log trims earlier than its settings state. Then only
		// keys that did not exist yet are covered.
		boolean trimmedEarly = this.caughtUpAt > nowEpochMillis - this.policy.retentionMillis();
		raiseCompleteFrom(trimmedEarly ? this.policy.newestClaimableKeyEpochMillis(nowEpochMillis)
				: this.policy.newestTrimmedKeyEpochMillis(nowEpochMillis));
		this.nextOffset = head;
	}

	/**
	 * Applies the batch at an offset. An offset that was applied before has no effect.
	 * @param offset the offset of the batch
	 * @param batch the batch
	 * @throws CodedException with {@link ErrorCode#INVARIANT_VIOLATED} if an offset was
	 * left out
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

	private void apply(ClaimRecord item) {
		ClaimKey key = item.key();
		if (key.timestampEpochMillis() < this.completeFrom) {
			return;
		}
		if (item instanceof ClaimRecord.Claim) {
			this.entries.computeIfAbsent(key, (absent) -> new ClaimEntry());
		}
		ClaimEntry entry = this.entries.get(key);
		if (entry != null) {
			entry.apply(item);
		}
	}

	private void dropBeyondMaxKeys() {
		while (this.entries.size() > this.maxKeys) {
			raiseCompleteFrom(this.entries.firstKey().timestampEpochMillis() + 1);
		}
	}

	/**
	 * Drops the keys that no policy accepts any more.
	 * @param nowEpochMillis the current time in milliseconds since the epoch
	 */
	public void expire(long nowEpochMillis) {
		raiseCompleteFrom(this.policy.oldestKeptKeyEpochMillis(nowEpochMillis));
	}

	private void raiseCompleteFrom(long epochMillis) {
		this.completeFrom = Math.max(this.completeFrom, epochMillis);
		while (!this.entries.isEmpty() && this.entries.firstKey().timestampEpochMillis() < this.completeFrom) {
			this.entries.pollFirstEntry();
		}
	}

	/**
	 * Returns what is known about a key.
	 * @param key the key
	 * @param nonce the nonce of the attempt that asks
	 * @return the state at {@link #nextOffset()}
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
	 * Returns whether the fold has every record that can concern a key, up to its
	 * position, and has once read to the end of the stream.
	 * @param key the key
	 * @return {@code false} if an answer about the key could be wrong
	 */
	public boolean isCompleteFor(ClaimKey key) {
		return this.started && this.nextOffset >= this.firstTail && key.timestampEpochMillis() >= this.completeFrom;
	}

	/**
	 * Returns from where to read next.
	 * @return the lowest offset that has not been applied
	 */
	public long nextOffset() {
		return this.nextOffset;
	}

	/**
	 * Returns for which keys the fold is complete.
	 * @return the creation time of the oldest such key, in milliseconds since the epoch
	 */
	public long completeFromEpochMillis() {
		return this.completeFrom;
	}

	/**
	 * Returns the number of keys in memory.
	 * @return at most the maximum given on construction
	 */
	public int size() {
		return this.entries.size();
	}

}
