package org.comfreyslip.coordination.claim;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.List;

import org.comfreyslip.coordination.CodedException;
import org.comfreyslip.coordination.ErrorCode;

/**
 * The records of one stream that wait for an append, and the append in flight.
 */
final class ClaimQueue {

	private final String writer;

	private final int partition;

	private final ArrayDeque<Waiting> waiting = new ArrayDeque<>();

	private long lastSequence;

	private ClaimBatch batch;

	// Whether a response to an append is due.
	private boolean appending;

	// Whether an earlier append of the batch may have taken effect.
	private boolean doubtful;

	private boolean readBack;

	private long nextAttemptNanos;

	ClaimQueue(String writer, int partition) {
		this.writer = writer;
		this.partition = partition;
	}

	int size() {
		return this.waiting.size() + ((this.batch != null) ? this.batch.records().size() : 0);
	}

	void add(ClaimRecord item, long nowNanos) {
		this.waiting.add(new Waiting(item, nowNanos));
	}

	boolean isDue(long nowNanos, long flushNanos, int flushRecords) {
		if (this.appending) {
			return false;
		}
		if (this.batch != null) {
			return nowNanos - this.nextAttemptNanos >= 0;
		}
		return !this.waiting.isEmpty()
				&& (this.waiting.size() >= flushRecords || nowNanos - this.waiting.peek().sinceNanos() >= flushNanos);
	}

	ClaimAppend append(int maxRecords) {
		if (this.appending) {
			throw new CodedException(ErrorCode.INVARIANT_VIOLATED,
					"second append in flight on claim stream " + this.partition);
		}
		if (this.batch == null) {
			this.batch = nextBatch(maxRecords);
		}
		this.appending = true;
		return new ClaimAppend(this.partition, this.batch, this.doubtful);
	}

	private ClaimBatch nextBatch(int maxRecords) {
		List<ClaimRecord> items = new ArrayList<>();
		while (items.size() < maxRecords && !this.waiting.isEmpty()) {
			items.add(this.waiting.poll().item());
		}
		this.lastSequence++;
		return new ClaimBatch(this.writer, this.lastSequence, items);
	}

	boolean isAppending(long sequence) {
		return this.appending && this.batch.sequence() == sequence;
	}

	void appended() {
		clear();
	}

	void unknown(long nextAttemptNanos) {
		if (this.readBack) {
			clear();
			return;
		}
		this.appending = false;
		this.doubtful = true;
		this.nextAttemptNanos = nextAttemptNanos;
	}

	// Returns the claims that are known not to be in the log.
	List<ClaimRecord.Claim> refused(long nowNanos, long nextAttemptNanos) {
		if (this.doubtful || this.readBack) {
			unknown(nextAttemptNanos);
			return List.of();
		}
		List<ClaimRecord> items = this.batch.records();
		clear();
		List<ClaimRecord.Claim> claims = new ArrayList<>();
		for (int i = items.size() - 1; i >= 0; i--) {
			if (items.get(i) instanceof ClaimRecord.Claim claim) {
				claims.add(0, claim);
			}
			else {
				this.waiting.addFirst(new Waiting(items.get(i), nowNanos));
			}
		}
		return claims;
	}

	void read(ClaimBatch found) {
		boolean own = this.batch != null && found.writer().equals(this.writer)
				&& found.sequence() == this.batch.sequence();
		if (!own) {
			return;
		}
		if (this.appending) {
			this.readBack = true;
			return;
		}
		clear();
	}

	private void clear() {
		this.batch = null;
		this.appending = false;
		this.doubtful = false;
		this.readBack = false;
	}

	private record Waiting(ClaimRecord item, long sinceNanos) {

	}

}
