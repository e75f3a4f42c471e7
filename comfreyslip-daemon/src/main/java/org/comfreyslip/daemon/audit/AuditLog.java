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
 * Buffers this daemon's audit entries and appends them in batches, at most one a second.
 * Thread-safe.
 */
public final class AuditLog {

	/** The log stream that holds the audit records. */
	public static final String STREAM = "audit";

	private static final long FLUSH_MILLIS = 1_000;

	/** About 500 bytes an entry, 2 MB in all. */
	private static final int CAPACITY = 4_096;

	private static final int MAX_BATCH = 256;

	private final LogClient log;

	private final LongSupplier wallClock;

	private final AuditBuffer buffer;

	private boolean inFlight;

	private boolean logAvailable = true;

	/**
	 * Creates an empty buffer.
	 * @param log the log
	 * @param chain the chain of this run
	 * @param wallClock the time in ms since the epoch
	 */
	public AuditLog(LogClient log, AuditChain chain, LongSupplier wallClock) {
		this.log = log;
		this.wallClock = wallClock;
		this.buffer = new AuditBuffer(chain, CAPACITY);
	}

	/**
	 * Starts to append.
	 * @param timer runs the appends
	 */
	public void start(ScheduledExecutorService timer) {
		timer.scheduleWithFixedDelay(this::flush, FLUSH_MILLIS, FLUSH_MILLIS, TimeUnit.MILLISECONDS);
	}

	/**
	 * Records an event.
	 * @param kind what happened
	 * @param subject what it happened to
	 * @param detail the particulars
	 */
	public synchronized void add(Kind kind, String subject, String detail) {
		this.buffer.add(new AuditEvent(this.wallClock.getAsLong(), kind, subject, detail));
	}

	/**
	 * Appends the next batch if there is one and no append is open.
	 * @return completes when the append has ended, with or without success
	 */
	public CompletableFuture<Void> flush() {
		List<AuditRecord> batch = nextBatch();
		if (batch.isEmpty()) {
			return CompletableFuture.completedFuture(null);
		}
		return this.log.append(STREAM, AuditBatchCodec.encode(batch)).handle((offset, ex) -> {
			onAnswer(ex);
			return null;
		});
	}

	private synchronized List<AuditRecord> nextBatch() {
		if (this.inFlight) {
			return List.of();
		}
		List<AuditRecord> batch = this.buffer.nextBatch(MAX_BATCH);
		this.inFlight = !batch.isEmpty();
		return batch;
	}

	private synchronized void onAnswer(Throwable failure) {
		this.inFlight = false;
		if (failure == null) {
			this.buffer.onAppended(this.wallClock.getAsLong());
		}
		else if (this.logAvailable) {
			DaemonEvent.AUDIT_LOG_UNAVAILABLE.log(this.buffer.size(), failure.getMessage());
		}
		this.logAvailable = failure == null;
	}

}
