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
 * Contends for the lease under which one daemon writes checkpoints and gives orders to
 * engines. Thread-safe.
 */
public final class MaintenanceLease {

	/** The log stream that holds the leases. */
	public static final String STREAM = "leases";

	/** The lease's name. */
	public static final String NAME = "maintenance";

	/** The lease time, equal in all daemons, in ns. */
	public static final long LEASE_NANOS = TimeUnit.SECONDS.toNanos(10);

	private static final long TICK_MILLIS = 500;

	private static final long POLL_MILLIS = 2_000;

	private static final int PAGE_RECORDS = 500;

	private final LogClient log;

	private final LongSupplier clock;

	private final LeaseHolder lease;

	private final BooleanSupplier contends;

	private final LeaseListener listener;

	private ScheduledExecutorService timer;

	private LeaseFold fold = new LeaseFold(0);

	private long renewalSeenAt;

	private boolean wasValid;

	private boolean logAvailable = true;

	private volatile boolean stopped;

	/**
	 * Creates a contender.
	 * @param log the log
	 * @param holder the contender's name, unique among live processes
	 * @param contends whether this daemon contends; the readers of the log do
	 * @param listener hears of changes
	 * @param clock the monotonic clock, in ns
	 */
	public MaintenanceLease(LogClient log, String holder, BooleanSupplier contends, LeaseListener listener,
			LongSupplier clock) {
		this.log = log;
		this.clock = clock;
		this.contends = contends;
		this.listener = listener;
		long now = clock.getAsLong();
		this.renewalSeenAt = now;
		this.lease = new LeaseHolder(NAME, holder, LeaseTiming.ofLease(LEASE_NANOS), () -> UUID.randomUUID().toString(),
				now);
	}

	/**
	 * Starts to contend.
	 * @param scheduler runs ticks and retries
	 */
	public void start(ScheduledExecutorService scheduler) {
		this.timer = scheduler;
		scheduler.scheduleAtFixedRate(this::tick, 0, TICK_MILLIS, TimeUnit.MILLISECONDS);
		readNext();
	}

	/**
	 * Gives the lease up, so that another daemon need not wait for the lease time.
	 * @return completes when the log has answered
	 */
	public CompletableFuture<Void> stop() {
		this.stopped = true;
		return resignation().map(this::append).orElseGet(() -> CompletableFuture.completedFuture(null));
	}

	/**
	 * Returns whether this daemon may give orders now.
	 * @return {@code true} while the lease is valid
	 */
	public synchronized boolean isValid() {
		return this.lease.isValid(this.clock.getAsLong());
	}

	/**
	 * Returns whether some daemon has renewed the lease within the lease time.
	 * @return {@code false} if nobody is known to hold the lease
	 */
	public synchronized boolean hasHolder() {
		boolean recent = this.clock.getAsLong() - this.renewalSeenAt < LEASE_NANOS;
		return recent && !this.fold.state(NAME).isFree();
	}

	/**
	 * Runs a step that asks the lease, under the lock of the lease.
	 * @param step the step
	 * @param <T> the result's type
	 * @return the step's result
	 */
	public synchronized <T> T with(Function<LeaseHolder, T> step) {
		return step.apply(this.lease);
	}

	/**
	 * Advances the time. A daemon whose ticks stop loses the lease like one that is
	 * paused.
	 */
	void tick() {
		if (this.stopped || !this.contends.getAsBoolean()) {
			return;
		}
		try {
			next().ifPresent(this::append);
			noticeChange();
		}
		catch (RuntimeException ex) {
			DaemonEvent.UNEXPECTED.log("lease", ex);
		}
	}

	private synchronized Optional<LeaseRecord> next() {
		return this.lease.nextRecord(this.clock.getAsLong());
	}

	private synchronized Optional<LeaseRecord> resignation() {
		return this.lease.resign();
	}

	private CompletableFuture<Void> append(LeaseRecord record) {
		return this.log.append(STREAM, LeaseRecordCodec.encode(record)).handle((offset, ex) -> {
			onAnswer(ex);
			return null;
		});
	}

	private synchronized void onAnswer(Throwable failure) {
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
		if (!this.contends.getAsBoolean()) {
			readLater();
			return;
		}
		long readStarted = this.clock.getAsLong();
		long from = nextOffset();
		this.log.read(STREAM, from, PAGE_RECORDS, POLL_MILLIS).whenComplete((page, ex) -> {
			if (ex != null || !isFolded(from, readStarted, page)) {
				onUnavailable(ex);
				readLater();
				return;
			}
			readNext();
		});
	}

	private void readLater() {
		this.timer.schedule(this::readNext, TICK_MILLIS, TimeUnit.MILLISECONDS);
	}

	private synchronized long nextOffset() {
		return this.fold.nextOffset();
	}

	private synchronized void onUnavailable(Throwable ex) {
		if (this.logAvailable && ex != null) {
			DaemonEvent.LEASE_LOG_UNAVAILABLE.log(ex.getMessage());
		}
		this.logAvailable = false;
	}

	private boolean isFolded(long from, long readStarted, LogPage page) {
		try {
			foldPage(from, readStarted, page);
			noticeChange();
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
			this.renewalSeenAt = now;
		}
		this.lease.onRecord(now, record.get(), verdict, state);
	}

	private synchronized void noticeChange() {
		boolean valid = isValid();
		if (valid == this.wasValid) {
			return;
		}
		this.wasValid = valid;
		if (valid) {
			long fence = this.lease.fencingToken(this.clock.getAsLong());
			DaemonEvent.LEASE_HELD.log(NAME, fence);
			this.listener.onChange(NAME, "held with fencing number " + fence);
			return;
		}
		DaemonEvent.LEASE_ENDED.log(NAME);
		this.listener.onChange(NAME, "no longer held");
	}

}
