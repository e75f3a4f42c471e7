package org.comfreyslip.coordination.audit;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.List;

import org.comfreyslip.coordination.Invariant;
import org.comfreyslip.coordination.audit.AuditRecord.Kind;

/**
 * Bounded buffer between a daemon and the log. When it is full, new events are dropped
 * and counted; when there is room again, an entry states how many. Entries enter the
 * chain when they are buffered, so that a batch whose answer was lost is appended again
 * unchanged. Not thread-safe.
 */
public final class AuditBuffer {

	private final AuditChain chain;

	private final int capacity;

	private final Deque<AuditRecord> records = new ArrayDeque<>();

	private long dropped;

	private long totalDropped;

	private long firstDroppedAt;

	private int inFlight;

	/**
	 * Creates an empty buffer.
	 * @param chain the chain of this run
	 * @param capacity entries to hold, at least 2
	 */
	public AuditBuffer(AuditChain chain, int capacity) {
		Invariant.check(capacity >= 2, "the audit buffer needs room for an entry and a gap");
		this.chain = chain;
		this.capacity = capacity;
	}

	/**
	 * Records an event.
	 * @param event what happened
	 */
	public void add(AuditEvent event) {
		// One place is left for the entry about the gap that ends here.
		int needed = (this.dropped > 0) ? 2 : 1;
		if (this.records.size() + needed > this.capacity) {
			drop(event);
			return;
		}
		closeGap(event.timeEpochMillis());
		this.records.add(this.chain.append(event));
	}

	/**
	 * Returns the entries to append next. Only one batch is in flight, so that the log
	 * has the order of the chain.
	 * @param max the largest number of entries
	 * @return the entries, the same until {@link #onAppended} unless the batch was not in
	 * flight
	 */
	public List<AuditRecord> batch(int max) {
		if (this.inFlight == 0) {
			this.inFlight = Math.min(max, this.records.size());
		}
		return this.records.stream().limit(this.inFlight).toList();
	}

	/**
	 * The batch is in the log.
	 * @param nowEpochMillis the current wall-clock time
	 */
	public void onAppended(long nowEpochMillis) {
		for (int i = 0; i < this.inFlight; i++) {
			this.records.remove();
		}
		this.inFlight = 0;
		if (this.records.size() < this.capacity) {
			closeGap(nowEpochMillis);
		}
	}

	/**
	 * Returns how many events were dropped in this run.
	 * @return the count
	 */
	public long totalDropped() {
		return this.totalDropped;
	}

	/**
	 * Returns how many entries wait for the log.
	 * @return the count
	 */
	public int size() {
		return this.records.size();
	}

	private void drop(AuditEvent event) {
		if (this.dropped == 0) {
			this.firstDroppedAt = event.timeEpochMillis();
		}
		this.dropped++;
		this.totalDropped++;
	}

	private void closeGap(long nowEpochMillis) {
		if (this.dropped == 0) {
			return;
		}
		String detail = this.dropped + " events dropped since " + this.firstDroppedAt;
		this.records.add(this.chain.append(new AuditEvent(nowEpochMillis, Kind.GAP, "audit", detail)));
		this.dropped = 0;
	}

}
