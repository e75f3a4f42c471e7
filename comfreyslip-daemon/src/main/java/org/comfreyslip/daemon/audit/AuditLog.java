package org.comfreyslip.daemon.audit;

import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.function.LongSupplier;

import org.comfreyslip.clients.log.LogClient;
import org.comfreyslip.coordination.audit.AuditBuffer;
import org.comfreyslip.coordination.audit.AuditChain;
import org.comfreyslip.coordination.audit.AuditEvent;
import org.comfreyslip.coordination.audit.AuditRecord;
import org.comfreyslip.coordination.audit.AuditRecord.Kind;
import org.comfreyslip.daemon.DaemonEvent;

/**
 * Buffers the audit entries of this daemon and appends them to the log in batches, at
 * most one batch per second. Thread-safe.
 */
public final class AuditLog {

	/** The log stream that holds the audit records. */
	public static final String STREAM = "audit";

	private static final long FLUSH_INTERVAL_MILLIS = 1_000;

	/** An entry takes about 500 bytes, so a full buffer takes about 2 MB. */
	private static final int MAX_BUFFERED_ENTRIES = 4_096;

	private static final int MAX_BATCH_ENTRIES = 256;

	private final LogClient log;

	private final LongSupplier epochClock;

	private final AuditBuffer buffer;

	private boolean appendInProgress;

	private boolean logAvailable = true;

	/**
	 * Creates an audit log with an empty buffer; it appends nothing until {@link #start}.
	 * @param log the client of the log
	 * @param chain the digest chain of this incarnation of the daemon
	 * @param epochClock the wall clock, in ms since the epoch
	 */
	public AuditLog(LogClient log, AuditChain chain, LongSupplier epochClock) {
		this.log = log;
		this.epochClock = epochClock;
		this.buffer = new AuditBuffer(chain, MAX_BUFFERED_ENTRIES);
	}

	/**
	 * Starts to append batches periodically.
	 * @param timer runs the appends
	 */
	public void start(ScheduledExecutorService timer) {
		timer.scheduleWithFixedDelay(this::flush, FLUSH_INTERVAL_MILLIS, FLUSH_INTERVAL_MILLIS, TimeUnit.MILLISECONDS);
	}

	/**
	 * Adds an event to the buffer.
	 * @param kind what happened
	 * @param subject the name or identifier of what it happened to
	 * @param detail further information in plain text
	 */
	public synchronized void add(Kind kind, String subject, String detail) {
		this.buffer.add(new AuditEvent(this.epochClock.getAsLong(), kind, subject, detail));
	}

	/**
	 * Appends the next batch if there is one and no append is in progress.
	 * @return a future that completes normally when the append has ended, successfully or
	 * not
	 */
	public CompletableFuture<Void> flush() {
		List<AuditRecord> batch = nextBatch();
		if (batch.isEmpty()) {
			return CompletableFuture.completedFuture(null);
		}
		return this.log.append(STREAM, AuditBatchCodec.encode(batch)).handle((offset, ex) -> {
			onAppendEnd(ex);
			return null;
		});
	}

	private synchronized List<AuditRecord> nextBatch() {
		if (this.appendInProgress) {
			return List.of();
		}
		List<AuditRecord> batch = this.buffer.nextBatch(MAX_BATCH_ENTRIES);
		this.appendInProgress = !batch.isEmpty();
		return batch;
	}

	private synchronized void onAppendEnd(Throwable failure) {
		this.appendInProgress = false;
		if (failure == null) {
			this.buffer.onAppended(this.epochClock.getAsLong());
		}
		else if (this.logAvailable) {
			DaemonEvent.AUDIT_LOG_UNAVAILABLE.log(this.buffer.size(), failure.getMessage());
		}
		this.logAvailable = failure == null;
	}

}
