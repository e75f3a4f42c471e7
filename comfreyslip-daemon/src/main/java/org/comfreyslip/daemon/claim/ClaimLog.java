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
 * Reads the claim streams continuously and appends batches of claim records to them.
 * Thread-safe: the lock of this object guards the claim folds and the batcher. Attempts
 * are notified without the lock held.
 */
public final class ClaimLog {

	private static final int MAX_RECORDS_PER_READ = 500;

	private static final long LONG_POLL_MILLIS = 5_000;

	private static final long READ_RETRY_MILLIS = 250;

	private static final long FLUSH_INTERVAL_MILLIS = 10;

	private static final int MAX_KEYS_PER_STREAM = 100_000;

	private static final int MAX_QUEUED_RECORDS = 2_000;

	private final LogClient logClient;

	private final ClaimFold[] folds = new ClaimFold[ClaimPartition.COUNT];

	private final ClaimBatcher batcher;

	private final Map<String, ClaimAttempt> attempts = new HashMap<>();

	private final boolean[] available = new boolean[ClaimPartition.COUNT];

	/**
	 * Whether the first read of each stream has ended, successfully or with a failure.
	 */
	private final boolean[] firstReadEnded = new boolean[ClaimPartition.COUNT];

	private final ScheduledExecutorService timer;

	private final Executor workers;

	private final LongSupplier clock;

	private final LongSupplier epochClock;

	private volatile boolean stopped;

	/**
	 * Creates the reader and writer; it is idle until {@link #start()}.
	 * @param log the client of the log
	 * @param writer the identity of this process, different after each restart
	 * @param policy how long idempotency keys are valid
	 * @param timer schedules flushes and read retries
	 * @param workers runs the notifications of attempts
	 * @param clock the monotonic clock, in ns
	 * @param epochClock the wall clock, in ms since the epoch
	 */
	public ClaimLog(LogClient log, String writer, IdempotencyKeyPolicy policy, ScheduledExecutorService timer,
			Executor workers, LongSupplier clock, LongSupplier epochClock) {
		this.logClient = log;
		this.batcher = new ClaimBatcher(writer, MAX_QUEUED_RECORDS);
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
		this.timer.scheduleWithFixedDelay(this::flush, FLUSH_INTERVAL_MILLIS, FLUSH_INTERVAL_MILLIS,
				TimeUnit.MILLISECONDS);
	}

	/**
	 * Stops reading: reads in progress are completed, and no further ones are started.
	 */
	public void stop() {
		this.stopped = true;
	}

	/**
	 * Ends all attempts because the process shuts down. Calls that were not sent are
	 * reported as not run, the others as unknown.
	 */
	public void abortAll() {
		List<ClaimAttempt> open;
		synchronized (this) {
			open = List.copyOf(this.attempts.values());
		}
		open.forEach(ClaimAttempt::onShutdown);
	}

	/**
	 * Registers an attempt to be notified of further records of its claim stream.
	 * @param nonce the nonce that identifies the attempt
	 * @param attempt the attempt to notify
	 */
	synchronized void register(String nonce, ClaimAttempt attempt) {
		this.attempts.put(nonce, attempt);
	}

	/**
	 * Removes an attempt that has ended.
	 * @param nonce the nonce that identifies the attempt
	 */
	synchronized void unregister(String nonce) {
		this.attempts.remove(nonce);
	}

	/**
	 * Queues a record for the next batch of its stream.
	 * @param claimRecord the record to append
	 * @return {@code false} if the queue is full
	 */
	synchronized boolean offer(ClaimRecord claimRecord) {
		return this.batcher.offer(claimRecord, this.clock.getAsLong());
	}

	/**
	 * Returns what the records read so far say about a key.
	 * @param key the claimed key
	 * @param nonce the nonce of the attempt that asks, or an empty text if no attempt
	 * does
	 * @return the claim and outcome known for the key
	 */
	public synchronized ClaimView view(ClaimKey key, String nonce) {
		return this.folds[ClaimPartition.of(key)].view(key, nonce);
	}

	/**
	 * Returns the number of keys held in memory.
	 * @return the number of keys of all streams
	 */
	public synchronized int keyCount() {
		int count = 0;
		for (ClaimFold fold : this.folds) {
			count += fold.size();
		}
		return count;
	}

	/**
	 * Returns whether no queued record still awaits its append.
	 * @return {@code true} if the append of every queued record was confirmed or the
	 * record was read back
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
	 * Returns whether the first read of every stream has ended. A failed read counts as
	 * well, because a daemon can serve models while the log is unavailable.
	 * @return {@code false} while the first read of a stream has not ended
	 */
	public synchronized boolean isFirstReadEnded() {
		for (boolean ended : this.firstReadEnded) {
			if (!ended) {
				return false;
			}
		}
		return true;
	}

	private void readNext(int partition) {
		if (this.stopped) {
			return;
		}
		long nextOffset;
		long waitMillis;
		synchronized (this) {
			nextOffset = this.folds[partition].nextOffset();
			// The first read does not wait for new records: until it has ended, no call
			// that is claimed on the stream can proceed.
			waitMillis = (this.firstReadEnded[partition]) ? LONG_POLL_MILLIS : 0;
		}
		this.logClient.read(ClaimPartition.streamName(partition), nextOffset, MAX_RECORDS_PER_READ, waitMillis)
			.whenComplete((page, ex) -> {
				if (ex == null) {
					onPage(partition, page);
					readNext(partition);
				}
				else {
					onReadFailed(partition, ex);
					this.timer.schedule(() -> readNext(partition), READ_RETRY_MILLIS, TimeUnit.MILLISECONDS);
				}
			});
	}

	private void onPage(int partition, LogPage page) {
		List<ClaimAttempt> affected = new ArrayList<>();
		synchronized (this) {
			this.available[partition] = true;
			this.firstReadEnded[partition] = true;
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
					"offset " + entry.offset() + " holds no claim batch");
		}
		ClaimBatch records = batch.orElse(new ClaimBatch("", 0, List.of()));
		this.folds[partition].apply(entry.offset(), records);
		batch.ifPresent((decoded) -> this.batcher.onBatchRead(partition, decoded));
	}

	private synchronized void onReadFailed(int partition, Throwable ex) {
		this.firstReadEnded[partition] = true;
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
			this.logClient.append(ClaimPartition.streamName(append.partition()), ClaimBatchCodec.encode(append.batch()))
				.whenComplete((offset, ex) -> onAppendEnd(append, ex));
		}
	}

	private void onAppendEnd(ClaimAppend append, Throwable ex) {
		long sequence = append.batch().sequence();
		List<ClaimAttempt> rejected = new ArrayList<>();
		synchronized (this) {
			if (ex == null) {
				this.batcher.onAppendConfirmed(append.partition(), sequence);
			}
			else if (isDefinitelyRejected(ex)) {
				this.batcher.onAppendRefused(append.partition(), sequence, this.clock.getAsLong())
					.forEach((claim) -> Optional.ofNullable(this.attempts.get(claim.nonce())).ifPresent(rejected::add));
			}
			else {
				this.batcher.onAppendOutcomeUnknown(append.partition(), sequence, this.clock.getAsLong());
			}
		}
		rejected.forEach((attempt) -> this.workers.execute(attempt::onAppendRefused));
	}

	private static boolean isDefinitelyRejected(Throwable ex) {
		return Failures.unwrap(ex) instanceof CodedException coded
				&& (coded.code() == ErrorCode.LOG_UNAVAILABLE || coded.code() == ErrorCode.BAD_REQUEST);
	}

}
