package org.comfreyslip.coordination.audit;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.List;

import org.comfreyslip.coordination.Invariant;
import org.comfreyslip.coordination.audit.AuditRecord.Kind;

/**
 * Bounded buffer of the audit records that a daemon has not yet appended to the log. When
 * it is full, new events are dropped and counted; when there is room again, a record of
 * kind {@link Kind#GAP} states how many. Records are added to the chain when they are
 * buffered, so that a batch whose response was lost is appended again unchanged. Not
 * thread-safe.
 */
public final class AuditBuffer {

	private final AuditChain chain;

	private final int capacity;

	private final Deque<AuditRecord> records = new ArrayDeque<>();

	// Events dropped since the last record of kind GAP.
	private long droppedSinceGapRecord;

	private long totalDropped;

	private long firstDroppedEpochMillis;

	private int inFlightCount;

	/**
	 * Creates an empty buffer.
	 * @param chain the chain of this incarnation of the daemon
	 * @param capacity the maximum number of records, at least 2
	 */
	public AuditBuffer(AuditChain chain, int capacity) {
		Invariant.check(capacity >= 2, "the audit buffer needs room for a record and a gap record");
		this.chain = chain;
		this.capacity = capacity;
	}

	/**
	 * Buffers the record of an event, or drops the event if the buffer is full.
	 * @param event what happened
	 */
	public void add(AuditEvent event) {
		// After dropped events, the gap record needs a place of its own.
		int needed = (this.droppedSinceGapRecord > 0) ? 2 : 1;
		if (this.records.size() + needed > this.capacity) {
			drop(event);
			return;
		}
		addGapRecordIfNeeded(event.timeEpochMillis());
		this.records.add(this.chain.append(event));
	}

	/**
	 * Returns the records to append next. Only one batch is in flight, so that the log
	 * has the order of the chain: once a batch has been returned, each call returns the
	 * same one until {@link #onAppended}.
	 * @param maxRecords the maximum size of a new batch
	 * @return the records in the order of the chain, empty if none is buffered
	 */
	public List<AuditRecord> nextBatch(int maxRecords) {
		if (this.inFlightCount == 0) {
			this.inFlightCount = Math.min(maxRecords, this.records.size());
		}
		return this.records.stream().limit(this.inFlightCount).toList();
	}

	/**
	 * Removes the batch in flight, because it is in the log.
	 * @param nowEpochMillis the current wall-clock time in milliseconds since the epoch
	 */
	public void onAppended(long nowEpochMillis) {
		for (int i = 0; i < this.inFlightCount; i++) {
			this.records.remove();
		}
		this.inFlightCount = 0;
		if (this.records.size() < this.capacity) {
			addGapRecordIfNeeded(nowEpochMillis);
		}
	}

	/**
	 * Returns the number of events that were dropped since the buffer was created.
	 * @return the count, including events that a gap record has already reported
	 */
	public long totalDropped() {
		return this.totalDropped;
	}

	/**
	 * Returns the number of records that are not known to be in the log.
	 * @return the count, including the batch in flight
	 */
	public int size() {
		return this.records.size();
	}

	private void drop(AuditEvent event) {
		if (this.droppedSinceGapRecord == 0) {
			this.firstDroppedEpochMillis = event.timeEpochMillis();
		}
		this.droppedSinceGapRecord++;
		this.totalDropped++;
	}

	private void addGapRecordIfNeeded(long nowEpochMillis) {
		if (this.droppedSinceGapRecord == 0) {
			return;
		}
		String detail = this.droppedSinceGapRecord + " events dropped since " + this.firstDroppedEpochMillis;
		this.records.add(this.chain.append(new AuditEvent(nowEpochMillis, Kind.GAP, "audit", detail)));
		this.droppedSinceGapRecord = 0;
	}

}
