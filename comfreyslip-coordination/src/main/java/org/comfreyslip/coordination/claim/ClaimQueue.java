package org.comfreyslip.coordination.claim;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.List;

import org.comfreyslip.coordination.CodedException;
import org.comfreyslip.coordination.ErrorCode;

/**
 * The records of one claim stream that are to be appended, and the batch that is being
 * appended.
 */
final class ClaimQueue {

	private final String writer;

	private final int partition;

	private final ArrayDeque<QueuedRecord> queuedRecords = new ArrayDeque<>();

	private long lastSequence;

	private ClaimBatch currentBatch;

	// Whether the result of an append of the current batch is still to be reported.
	private boolean appendInFlight;

	// Whether an earlier append of the current batch had an unknown outcome.
	private boolean mayBeInLog;

	// Whether the current batch was read from the stream while its append was in flight.
	private boolean readBackDuringAppend;

	// The earliest time to append the current batch again.
	private long nextAttemptNanos;

	ClaimQueue(String writer, int partition) {
		this.writer = writer;
		this.partition = partition;
	}

	int pendingCount() {
		return this.queuedRecords.size() + ((this.currentBatch != null) ? this.currentBatch.records().size() : 0);
	}

	void add(ClaimRecord record, long nowNanos) {
		this.queuedRecords.add(new QueuedRecord(record, nowNanos));
	}

	boolean isDue(long nowNanos, long flushNanos, int flushRecords) {
		if (this.appendInFlight) {
			return false;
		}
		if (this.currentBatch != null) {
			return nowNanos - this.nextAttemptNanos >= 0;
		}
		return !this.queuedRecords.isEmpty() && (this.queuedRecords.size() >= flushRecords
				|| nowNanos - this.queuedRecords.peek().queuedAtNanos() >= flushNanos);
	}

	ClaimAppend startAppend(int maxRecords) {
		if (this.appendInFlight) {
			throw new CodedException(ErrorCode.INVARIANT_VIOLATED,
					"second append in flight on claim stream " + this.partition);
		}
		if (this.currentBatch == null) {
			this.currentBatch = createBatch(maxRecords);
		}
		this.appendInFlight = true;
		return new ClaimAppend(this.partition, this.currentBatch, this.mayBeInLog);
	}

	private ClaimBatch createBatch(int maxRecords) {
		List<ClaimRecord> records = new ArrayList<>();
		while (records.size() < maxRecords && !this.queuedRecords.isEmpty()) {
			records.add(this.queuedRecords.poll().record());
		}
		this.lastSequence++;
		return new ClaimBatch(this.writer, this.lastSequence, records);
	}

	boolean isAppendInFlight(long sequence) {
		return this.appendInFlight && this.currentBatch.sequence() == sequence;
	}

	void confirmAppend() {
		clearBatch();
	}

	// Ends an append with an unknown outcome.
	void retryAppendAt(long nextAttemptNanos) {
		if (this.readBackDuringAppend) {
			clearBatch();
			return;
		}
		this.appendInFlight = false;
		this.mayBeInLog = true;
		this.nextAttemptNanos = nextAttemptNanos;
	}

	// Ends an append that the log refused. Returns the claims that are known not to be in
	// the log; the other records of the batch are queued again.
	List<ClaimRecord.Claim> rejectAppend(long nowNanos, long nextAttemptNanos) {
		if (this.mayBeInLog || this.readBackDuringAppend) {
			retryAppendAt(nextAttemptNanos);
			return List.of();
		}
		List<ClaimRecord> records = this.currentBatch.records();
		clearBatch();
		List<ClaimRecord.Claim> claims = new ArrayList<>();
		for (int i = records.size() - 1; i >= 0; i--) {
			if (records.get(i) instanceof ClaimRecord.Claim claim) {
				claims.add(0, claim);
			}
			else {
				this.queuedRecords.addFirst(new QueuedRecord(records.get(i), nowNanos));
			}
		}
		return claims;
	}

	void onBatchRead(ClaimBatch found) {
		boolean own = this.currentBatch != null && found.writer().equals(this.writer)
				&& found.sequence() == this.currentBatch.sequence();
		if (!own) {
			return;
		}
		if (this.appendInFlight) {
			this.readBackDuringAppend = true;
			return;
		}
		clearBatch();
	}

	private void clearBatch() {
		this.currentBatch = null;
		this.appendInFlight = false;
		this.mayBeInLog = false;
		this.readBackDuringAppend = false;
	}

	private record QueuedRecord(ClaimRecord record, long queuedAtNanos) {

	}

}
