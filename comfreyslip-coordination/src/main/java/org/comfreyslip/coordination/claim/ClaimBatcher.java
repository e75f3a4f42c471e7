package org.comfreyslip.coordination.claim;

import java.util.ArrayList;
import java.util.List;

/**
 * Groups the records of each claim stream into batches. At most one append is in flight
 * per stream, so the records of one process reach the log in the order in which they were
 * offered.
 * <p>
 * An append with an unknown outcome is repeated with the identical batch until the batch
 * is read back or an append of it is confirmed. After a refusal, claims are given back,
 * because their callers get an immediate response; outcomes and releases are kept and
 * appended again, because what they state has already happened.
 * <p>
 * Not thread-safe; guarded by the caller's lock on the claim folds.
 */
public final class ClaimBatcher {

	private static final long FLUSH_NANOS = 50_000_000;

	private static final int FLUSH_RECORDS = 64;

	// Every claim is followed by at most one record that settles it.
	private static final int SETTLING_FACTOR = 2;

	private final ClaimQueue[] queues = new ClaimQueue[ClaimPartition.COUNT];

	private final int capacity;

	/**
	 * Creates a batcher without records.
	 * @param writer the identity of this process, different after each restart
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
	 * @param item the record
	 * @param nowNanos the current monotonic time
	 * @return {@code false} if the queue is full; the record is then known not to be in
	 * the log
	 */
	public boolean offer(ClaimRecord item, long nowNanos) {
		ClaimQueue queue = this.queues[ClaimPartition.of(item.key())];
		int limit = (item instanceof ClaimRecord.Claim) ? this.capacity : SETTLING_FACTOR * this.capacity;
		if (queue.size() >= limit) {
			return false;
		}
		queue.add(item, nowNanos);
		return true;
	}

	/**
	 * Starts the appends that are due: batches that are full or old enough, and batches
	 * to be repeated.
	 * @param nowNanos the current monotonic time
	 * @return at most one append per stream
	 */
	public List<ClaimAppend> startAppends(long nowNanos) {
		List<ClaimAppend> due = new ArrayList<>();
		for (ClaimQueue queue : this.queues) {
			if (queue.isDue(nowNanos, FLUSH_NANOS, FLUSH_RECORDS)) {
				due.add(queue.append(FLUSH_RECORDS));
			}
		}
		return due;
	}

	/**
	 * Ends an append that the log confirmed.
	 * @param partition the stream
	 * @param sequence the sequence number of the batch
	 */
	public void onAppended(int partition, long sequence) {
		ClaimQueue queue = this.queues[partition];
		if (queue.isAppending(sequence)) {
			queue.appended();
		}
	}

	/**
	 * Ends an append that may or may not have taken effect.
	 * @param partition the stream
	 * @param sequence the sequence number of the batch
	 * @param nowNanos the current monotonic time
	 */
	public void onUnknown(int partition, long sequence, long nowNanos) {
		ClaimQueue queue = this.queues[partition];
		if (queue.isAppending(sequence)) {
			queue.unknown(nowNanos + FLUSH_NANOS);
		}
	}

	/**
	 * Ends an append that the log refused. If an earlier append of the same batch had an
	 * unknown outcome, the batch stays in doubt and is repeated.
	 * @param partition the stream
	 * @param sequence the sequence number of the batch
	 * @param nowNanos the current monotonic time
	 * @return the claims that are known not to be in the log
	 */
	public List<ClaimRecord.Claim> onRefused(int partition, long sequence, long nowNanos) {
		ClaimQueue queue = this.queues[partition];
		if (!queue.isAppending(sequence)) {
			return List.of();
		}
		return queue.refused(nowNanos, nowNanos + FLUSH_NANOS);
	}

	/**
	 * Takes note of a batch that was read from a stream.
	 * @param partition the stream
	 * @param batch the batch
	 */
	public void onRead(int partition, ClaimBatch batch) {
		this.queues[partition].read(batch);
	}

	/**
	 * Returns the number of records that wait or are in flight.
	 * @param partition the stream
	 * @return at most twice the capacity
	 */
	public int size(int partition) {
		return this.queues[partition].size();
	}

}
