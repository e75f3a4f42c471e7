package org.comfreyslip.daemon.claim;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.Executor;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.function.LongSupplier;

import org.comfreyslip.clients.log.LogClient;
import org.comfreyslip.clients.log.LogPage;
import org.comfreyslip.clients.log.LogRecord;
import org.comfreyslip.clients.record.ClaimBatchCodec;
import org.comfreyslip.coordination.CodedException;
import org.comfreyslip.coordination.ErrorCode;
import org.comfreyslip.coordination.claim.ClaimAppend;
import org.comfreyslip.coordination.claim.ClaimBatch;
import org.comfreyslip.coordination.claim.ClaimBatcher;
import org.comfreyslip.coordination.claim.ClaimFold;
import org.comfreyslip.coordination.claim.ClaimKey;
import org.comfreyslip.coordination.claim.ClaimPartition;
import org.comfreyslip.coordination.claim.ClaimRecord;
import org.comfreyslip.coordination.claim.ClaimView;
import org.comfreyslip.coordination.claim.IdempotencyKeyPolicy;
import org.comfreyslip.daemon.DaemonEvent;
import org.comfreyslip.daemon.Failures;

/**
 * Follows the claim streams and appends to them. Its lock is the lock of the claim folds;
 * attempts are called without it.
 */
public final class ClaimLog {

	private static final int PAGE_RECORDS = 500;

	private static final long POLL_MILLIS = 5_000;

	private static final long RETRY_MILLIS = 250;

	private static final long FLUSH_CHECK_MILLIS = 10;

	private static final int MAX_KEYS_PER_STREAM = 100_000;

	private static final int QUEUE_RECORDS = 2_000;

	private final LogClient log;

	private final ClaimFold[] folds = new ClaimFold[ClaimPartition.COUNT];

	private final ClaimBatcher batcher;

	private final Map<String, ClaimAttempt> attempts = new HashMap<>();

	private final boolean[] available = new boolean[ClaimPartition.COUNT];

	/** Streams whose first read has ended, with records or with a failure. */
	private final boolean[] asked = new boolean[ClaimPartition.COUNT];

	private final ScheduledExecutorService timer;

	private final Executor workers;

	private final LongSupplier clock;

	private final LongSupplier epochClock;

	private volatile boolean stopped;

	/**
	 * Creates the follower.
	 * @param log the log
	 * @param writer the identity of this process, different after each restart
	 * @param policy the window of idempotency keys
	 * @param timer runs flushes and retries
	 * @param workers runs the attempts
	 * @param clock the monotonic clock, in ns
	 * @param epochClock the wall clock, in ms since the epoch
	 */
	public ClaimLog(LogClient log, String writer, IdempotencyKeyPolicy policy, ScheduledExecutorService timer,
			Executor workers, LongSupplier clock, LongSupplier epochClock) {
		this.log = log;
		this.batcher = new ClaimBatcher(writer, QUEUE_RECORDS);
		this.timer = timer;
		this.workers = workers;
		this.clock = clock;
		this.epochClock = epochClock;
		for (int i = 0; i < this.folds.length; i++) {
			this.folds[i] = new ClaimFold(policy, MAX_KEYS_PER_STREAM);
			this.available[i] = true;
		}
	}

	/**
	 * Starts to read all streams and to flush batches. Returns at once.
	 */
	public void start() {
		for (int i = 0; i < this.folds.length; i++) {
			readNext(i);
		}
		this.timer.scheduleWithFixedDelay(this::flush, FLUSH_CHECK_MILLIS, FLUSH_CHECK_MILLIS, TimeUnit.MILLISECONDS);
	}

	/**
	 * Ends after the reads in progress.
	 */
	public void stop() {
		this.stopped = true;
	}

	/**
	 * Answers all attempts because the process ends: those that were not sent as not run,
	 * the others as unknown.
	 */
	public void abortAll() {
		List<ClaimAttempt> open;
		synchronized (this) {
			open = List.copyOf(this.attempts.values());
		}
		open.forEach(ClaimAttempt::onShutdown);
	}

	/**
	 * Registers an attempt for the records of its key's stream.
	 * @param nonce the attempt's nonce
	 * @param attempt the attempt
	 */
	synchronized void register(String nonce, ClaimAttempt attempt) {
		this.attempts.put(nonce, attempt);
	}

	/**
	 * Removes an attempt that has ended.
	 * @param nonce the attempt's nonce
	 */
	synchronized void unregister(String nonce) {
		this.attempts.remove(nonce);
	}

	/**
	 * Offers a record for the next batch of its stream.
	 * @param item the record
	 * @return {@code false} if the queue is full
	 */
	synchronized boolean offer(ClaimRecord item) {
		return this.batcher.offer(item, this.clock.getAsLong());
	}

	/**
	 * Returns what is known about a key.
	 * @param key the key
	 * @param nonce the nonce of the attempt that asks
	 * @return the view
	 */
	public synchronized ClaimView view(ClaimKey key, String nonce) {
		return this.folds[ClaimPartition.of(key)].view(key, nonce);
	}

	/**
	 * Returns the number of keys held.
	 * @return the sum over all streams
	 */
	public synchronized int keys() {
		int keys = 0;
		for (ClaimFold fold : this.folds) {
			keys += fold.size();
		}
		return keys;
	}

	/**
	 * Returns whether no record waits for the log.
	 * @return {@code true} if every offered record was confirmed or read back
	 */
	public synchronized boolean isFlushed() {
		for (int i = 0; i < this.folds.length; i++) {
			if (this.batcher.pendingCount(i) > 0) {
				return false;
			}
		}
		return true;
	}

	/**
	 * Returns whether the first read of every stream has ended. A daemon without the log
	 * serves models, so a failed read counts.
	 * @return {@code false} while the daemon starts
	 */
	public synchronized boolean isStarted() {
		for (boolean streamAsked : this.asked) {
			if (!streamAsked) {
				return false;
			}
		}
		return true;
	}

	private void readNext(int partition) {
		if (this.stopped) {
			return;
		}
		long from;
		long wait;
		synchronized (this) {
			from = this.folds[partition].nextOffset();
			// The first read must not wait for a record: until it has ended, no claim on
			// the stream can be answered.
			wait = (this.asked[partition]) ? POLL_MILLIS : 0;
		}
		this.log.read(ClaimPartition.streamName(partition), from, PAGE_RECORDS, wait).whenComplete((page, ex) -> {
			if (ex == null) {
				onPage(partition, page);
				readNext(partition);
			}
			else {
				onUnavailable(partition, ex);
				this.timer.schedule(() -> readNext(partition), RETRY_MILLIS, TimeUnit.MILLISECONDS);
			}
		});
	}

	private void onPage(int partition, LogPage page) {
		List<ClaimAttempt> affected = new ArrayList<>();
		synchronized (this) {
			this.available[partition] = true;
			this.asked[partition] = true;
			ClaimFold fold = this.folds[partition];
			fold.updateLogBounds(page.head(), page.tail(), this.epochClock.getAsLong());
			for (LogRecord entry : page.records()) {
				apply(partition, entry);
			}
			if (!page.records().isEmpty()) {
				this.attempts.values()
					.stream()
					.filter((attempt) -> attempt.partition() == partition)
					.forEach(affected::add);
			}
		}
		affected.forEach((attempt) -> this.workers.execute(attempt::onRecordsRead));
	}

	private void apply(int partition, LogRecord entry) {
		Optional<ClaimBatch> batch = ClaimBatchCodec.decode(entry.data());
		if (batch.isEmpty()) {
			DaemonEvent.FOREIGN_RECORD.log(ClaimPartition.streamName(partition),
					"offset " + entry.offset() + " is no claim batch");
		}
		ClaimBatch records = batch.orElse(new ClaimBatch("", 0, List.of()));
		this.folds[partition].apply(entry.offset(), records);
		batch.ifPresent((known) -> this.batcher.onBatchRead(partition, known));
	}

	private synchronized void onUnavailable(int partition, Throwable ex) {
		this.asked[partition] = true;
		if (this.available[partition]) {
			DaemonEvent.CLAIM_LOG_UNAVAILABLE.log(ClaimPartition.streamName(partition), ex.getMessage());
			this.available[partition] = false;
		}
	}

	private void flush() {
		List<ClaimAppend> due;
		synchronized (this) {
			due = this.batcher.startAppends(this.clock.getAsLong());
		}
		for (ClaimAppend append : due) {
			this.log.append(ClaimPartition.streamName(append.partition()), ClaimBatchCodec.encode(append.batch()))
				.whenComplete((offset, ex) -> onAppendEnd(append, ex));
		}
	}

	private void onAppendEnd(ClaimAppend append, Throwable ex) {
		long sequence = append.batch().sequence();
		List<ClaimAttempt> refused = new ArrayList<>();
		synchronized (this) {
			if (ex == null) {
				this.batcher.onAppendConfirmed(append.partition(), sequence);
			}
			else if (isKnownRefusal(ex)) {
				this.batcher.onAppendRefused(append.partition(), sequence, this.clock.getAsLong())
					.forEach((claim) -> Optional.ofNullable(this.attempts.get(claim.nonce())).ifPresent(refused::add));
			}
			else {
				this.batcher.onAppendOutcomeUnknown(append.partition(), sequence, this.clock.getAsLong());
			}
		}
		refused.forEach((attempt) -> this.workers.execute(attempt::onAppendRefused));
	}

	private static boolean isKnownRefusal(Throwable ex) {
		return Failures.unwrap(ex) instanceof CodedException coded
				&& (coded.code() == ErrorCode.LOG_UNAVAILABLE || coded.code() == ErrorCode.BAD_REQUEST);
	}

}
