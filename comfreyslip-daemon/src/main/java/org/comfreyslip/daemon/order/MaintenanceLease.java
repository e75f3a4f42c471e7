package org.comfreyslip.daemon.order;

import java.util.Optional;
import java.util.UUID;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.function.BooleanSupplier;
import java.util.function.Function;
import java.util.function.LongSupplier;

import org.comfreyslip.clients.log.LogClient;
import org.comfreyslip.clients.log.LogPage;
import org.comfreyslip.clients.log.LogRecord;
import org.comfreyslip.clients.record.LeaseRecordCodec;
import org.comfreyslip.coordination.lease.LeaseFold;
import org.comfreyslip.coordination.lease.LeaseHolder;
import org.comfreyslip.coordination.lease.LeaseRecord;
import org.comfreyslip.coordination.lease.LeaseState;
import org.comfreyslip.coordination.lease.LeaseTiming;
import org.comfreyslip.coordination.lease.LeaseVerdict;
import org.comfreyslip.daemon.DaemonEvent;

/**
 * Contends for the lease whose holder, one daemon at a time, writes checkpoints and sends
 * orders to engines. Thread-safe.
 */
public final class MaintenanceLease {

	/** The log stream that holds the leases. */
	public static final String STREAM = "leases";

	/** The lease's name. */
	public static final String NAME = "maintenance";

	/** The duration of the lease in nanoseconds, equal in all daemons. */
	public static final long LEASE_NANOS = TimeUnit.SECONDS.toNanos(10);

	private static final long TICK_MILLIS = 500;

	private static final long READ_WAIT_MILLIS = 2_000;

	private static final int PAGE_RECORDS = 500;

	private final LogClient log;

	private final LongSupplier clock;

	private final LeaseHolder lease;

	private final BooleanSupplier isContender;

	private final LeaseListener listener;

	private ScheduledExecutorService timer;

	private LeaseFold fold = new LeaseFold(0);

	private long renewalSeenAtNanos;

	private boolean reportedValid;

	private boolean logAvailable = true;

	private volatile boolean stopped;

	/**
	 * Creates a contender.
	 * @param log the log
	 * @param holder the contender's name, unique among live processes
	 * @param isContender whether this daemon contends at present; the readers of the log
	 * do
	 * @param listener receives the changes of the lease
	 * @param clock the monotonic clock, in ns
	 */
	public MaintenanceLease(LogClient log, String holder, BooleanSupplier isContender, LeaseListener listener,
			LongSupplier clock) {
		this.log = log;
		this.clock = clock;
		this.isContender = isContender;
		this.listener = listener;
		long now = clock.getAsLong();
		this.renewalSeenAtNanos = now;
		this.lease = new LeaseHolder(NAME, holder, LeaseTiming.ofLease(LEASE_NANOS), () -> UUID.randomUUID().toString(),
				now);
	}

	/**
	 * Starts to contend for the lease.
	 * @param scheduler runs the periodic task and retries
	 */
	public void start(ScheduledExecutorService scheduler) {
		this.timer = scheduler;
		scheduler.scheduleAtFixedRate(this::tick, 0, TICK_MILLIS, TimeUnit.MILLISECONDS);
		readNext();
	}

	/**
	 * Releases the lease, so that another daemon need not wait until it expires.
	 * @return completes when the append to the log has succeeded or failed
	 */
	public CompletableFuture<Void> stop() {
		this.stopped = true;
		return resignation().map(this::append).orElseGet(() -> CompletableFuture.completedFuture(null));
	}

	/**
	 * Returns whether this daemon may send orders now.
	 * @return {@code true} while the lease is valid
	 */
	public synchronized boolean isValid() {
		return this.lease.isValid(this.clock.getAsLong());
	}

	/**
	 * Returns whether any daemon has renewed the lease within its duration.
	 * @return {@code false} if no daemon is known to hold the lease
	 */
	public synchronized boolean hasHolder() {
		boolean recent = this.clock.getAsLong() - this.renewalSeenAtNanos < LEASE_NANOS;
		return recent && !this.fold.state(NAME).isFree();
	}

	/**
	 * Runs a step that uses the lease, under the lock of the lease.
	 * @param step the step
	 * @param <T> the result's type
	 * @return the step's result
	 */
	public synchronized <T> T withLock(Function<LeaseHolder, T> step) {
		return step.apply(this.lease);
	}

	/**
	 * Appends the record that is due, if any, and reports a change. A daemon whose ticks
	 * stop loses the lease, as a paused process does.
	 */
	void tick() {
		if (this.stopped || !this.isContender.getAsBoolean()) {
			return;
		}
		try {
			nextRecord().ifPresent(this::append);
			reportChange();
		}
		catch (RuntimeException ex) {
			DaemonEvent.UNEXPECTED.log("lease", ex);
		}
	}

	private synchronized Optional<LeaseRecord> nextRecord() {
		return this.lease.nextRecord(this.clock.getAsLong());
	}

	private synchronized Optional<LeaseRecord> resignation() {
		return this.lease.resign();
	}

	private CompletableFuture<Void> append(LeaseRecord record) {
		return this.log.append(STREAM, LeaseRecordCodec.encode(record)).handle((offset, ex) -> {
			onAppendResult(ex);
			return null;
		});
	}

	private synchronized void onAppendResult(Throwable failure) {
		if (failure == null) {
			this.lease.onAppended();
			return;
		}
		this.lease.onAppendFailed(this.clock.getAsLong());
	}

	private void readNext() {
		if (this.stopped) {
			return;
		}
		if (!this.isContender.getAsBoolean()) {
			scheduleRead();
			return;
		}
		long readStarted = this.clock.getAsLong();
		long from = nextOffset();
		this.log.read(STREAM, from, PAGE_RECORDS, READ_WAIT_MILLIS).whenComplete((page, ex) -> {
			if (ex != null || !tryFold(from, readStarted, page)) {
				onReadFailure(ex);
				scheduleRead();
				return;
			}
			readNext();
		});
	}

	private void scheduleRead() {
		this.timer.schedule(this::readNext, TICK_MILLIS, TimeUnit.MILLISECONDS);
	}

	private synchronized long nextOffset() {
		return this.fold.nextOffset();
	}

	private synchronized void onReadFailure(Throwable ex) {
		if (this.logAvailable && ex != null) {
			DaemonEvent.LEASE_LOG_UNAVAILABLE.log(ex.getMessage());
		}
		this.logAvailable = false;
	}

	private boolean tryFold(long from, long readStarted, LogPage page) {
		try {
			foldPage(from, readStarted, page);
			reportChange();
			return true;
		}
		catch (RuntimeException ex) {
			DaemonEvent.UNEXPECTED.log("lease", ex);
			return false;
		}
	}

	private synchronized void foldPage(long from, long readStarted, LogPage page) {
		this.logAvailable = true;
		if (page.head() > from) {
			// Records between the last one folded and the head were trimmed unread.
			this.fold = new LeaseFold(page.head());
		}
		for (LogRecord entry : page.records()) {
			if (entry.offset() >= this.fold.nextOffset()) {
				foldRecord(entry);
			}
		}
		if (this.fold.nextOffset() >= page.tail()) {
			this.lease.onReadToTail(readStarted, this.fold.state(NAME));
		}
	}

	private void foldRecord(LogRecord entry) {
		Optional<LeaseRecord> record = LeaseRecordCodec.decode(entry.data());
		if (record.isEmpty()) {
			this.fold.skip(entry.offset());
			return;
		}
		LeaseVerdict verdict = this.fold.apply(entry.offset(), record.get());
		if (!record.get().name().equals(NAME)) {
			return;
		}
		long now = this.clock.getAsLong();
		LeaseState state = this.fold.state(NAME);
		if (verdict == LeaseVerdict.ACCEPTED) {
			this.renewalSeenAtNanos = now;
		}
		this.lease.onRecord(now, record.get(), verdict, state);
	}

	private synchronized void reportChange() {
		boolean valid = isValid();
		if (valid == this.reportedValid) {
			return;
		}
		this.reportedValid = valid;
		if (valid) {
			long fencingToken = this.lease.fencingToken(this.clock.getAsLong());
			DaemonEvent.LEASE_HELD.log(NAME, fencingToken);
			this.listener.onLeaseChange(NAME, "held with fencing number " + fencingToken);
			return;
		}
		DaemonEvent.LEASE_ENDED.log(NAME);
		this.listener.onLeaseChange(NAME, "no longer held");
	}

}
