package org.comfreyslip.coordination.claim;

import java.util.ArrayList;
import java.util.List;

/**
 * Groups the records of each claim stream into batches. At most one append is in flight
 * per stream, so the records of one process reach the log in the order in which they were
 * offered.
 * <p>
 * An append with an unknown outcome is repeated with the identical batch until the batch
 * is read back or an append of it is confirmed. If the log refuses an append, its claims
 * are returned to the caller, because their requests get an immediate response; outcomes
 * and releases are queued again, because what they state has already happened.
 * <p>
 * Not thread-safe; guarded by the caller's lock on the claim folds.
 */
public final class ClaimBatcher {

	private static final long FLUSH_NANOS = 50_000_000;

	private static final int FLUSH_RECORDS = 64;

	// A claim is followed by at most one outcome or release.
	private static final int MAX_RECORDS_PER_CLAIM = 2;

	private final ClaimQueue[] queues = new ClaimQueue[ClaimPartition.COUNT];

	private final int capacity;

	/**
	 * Creates a batcher without records.
	 * @param writer the identity of this incarnation of the process, different after each
	 * restart
	 * @param capacity the number of records per stream beyond which claims are rejected.
	 * Outcomes and releases are rejected beyond twice that number.
	 */
	public ClaimBatcher(String writer, int capacity) {
		this.capacity = capacity;
		for (int i = 0; i < this.queues.length; i++) {
			this.queues[i] = new ClaimQueue(writer, i);
		}
	}

	/**
	 * Offers a record for the next batch of its stream.
	 * @param record the record
	 * @param nowNanos the current monotonic time
	 * @return {@code false} if the queue is full; the record is then known not to be in
	 * the log
	 */
	public boolean offer(ClaimRecord record, long nowNanos) {
		ClaimQueue queue = this.queues[ClaimPartition.of(record.key())];
		int limit = (record instanceof ClaimRecord.Claim) ? this.capacity : MAX_RECORDS_PER_CLAIM * this.capacity;
		if (queue.pendingCount() >= limit) {
			return false;
		}
		queue.add(record, nowNanos);
		return true;
	}

	/**
	 * Starts the appends that are due: batches that are full or whose oldest record is 50
	 * ms old, and batches to be appended again.
	 * @param nowNanos the current monotonic time
	 * @return at most one append per stream; empty if none is due
	 */
	public List<ClaimAppend> startAppends(long nowNanos) {
		List<ClaimAppend> due = new ArrayList<>();
		for (ClaimQueue queue : this.queues) {
			if (queue.isDue(nowNanos, FLUSH_NANOS, FLUSH_RECORDS)) {
				due.add(queue.startAppend(FLUSH_RECORDS));
			}
		}
		return due;
	}

	/**
	 * Ends an append that the log confirmed.
	 * @param partition the stream
	 * @param sequence the sequence number of the batch
	 */
	public void onAppendConfirmed(int partition, long sequence) {
		ClaimQueue queue = this.queues[partition];
		if (queue.isAppendInFlight(sequence)) {
			queue.confirmAppend();
		}
	}

	/**
	 * Ends an append whose outcome is unknown. The batch is appended again after 50 ms,
	 * unless it is read back before.
	 * @param partition the stream
	 * @param sequence the sequence number of the batch
	 * @param nowNanos the current monotonic time
	 */
	public void onAppendOutcomeUnknown(int partition, long sequence, long nowNanos) {
		ClaimQueue queue = this.queues[partition];
		if (queue.isAppendInFlight(sequence)) {
			queue.retryAppendAt(nowNanos + FLUSH_NANOS);
		}
	}

	/**
	 * Ends an append that the log refused. If an earlier append of the same batch had an
	 * unknown outcome, the batch may still be in the log and is appended again.
	 * @param partition the stream
	 * @param sequence the sequence number of the batch
	 * @param nowNanos the current monotonic time
	 * @return the claims that are known not to be in the log, possibly empty
	 */
	public List<ClaimRecord.Claim> onAppendRefused(int partition, long sequence, long nowNanos) {
		ClaimQueue queue = this.queues[partition];
		if (!queue.isAppendInFlight(sequence)) {
			return List.of();
		}
		return queue.rejectAppend(nowNanos, nowNanos + FLUSH_NANOS);
	}

	/**
	 * Processes a batch that was read from a stream. A batch of this process is not
	 * appended again after it was read back.
	 * @param partition the stream
	 * @param batch the batch that was read, of this process or of another one
	 */
	public void onBatchRead(int partition, ClaimBatch batch) {
		this.queues[partition].onBatchRead(batch);
	}

	/**
	 * Returns the number of records that are queued or in flight.
	 * @param partition the stream
	 * @return at most twice the capacity
	 */
	public int pendingCount(int partition) {
		return this.queues[partition].pendingCount();
	}

}
