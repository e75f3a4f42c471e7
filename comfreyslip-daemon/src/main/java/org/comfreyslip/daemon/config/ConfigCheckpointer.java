package org.comfreyslip.daemon.config;

import java.util.Optional;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.function.BooleanSupplier;
import java.util.function.LongSupplier;
import java.util.function.Supplier;

import org.comfreyslip.clients.log.LogClient;
import org.comfreyslip.clients.record.ConfigRecordCodec;
import org.comfreyslip.coordination.config.CheckpointSchedule;
import org.comfreyslip.coordination.config.ConfigRecord.Checkpoint;
import org.comfreyslip.coordination.config.ConfigSnapshot;
import org.comfreyslip.daemon.DaemonEvent;

/**
 * Appends checkpoints of the configuration while this daemon holds the maintenance lease.
 * Thread-safe.
 */
public final class ConfigCheckpointer {

	private static final long TICK_MILLIS = 500;

	private final LogClient log;

	private final CheckpointSchedule schedule;

	private final BooleanSupplier leaseValid;

	private final Supplier<Optional<ConfigSnapshot>> state;

	private final LongSupplier clock;

	/**
	 * Creates a writer of checkpoints.
	 * @param log the log
	 * @param retentionMillis how long the log keeps a record, in ms
	 * @param leaseValid whether this daemon holds the maintenance lease
	 * @param state the state that this daemon has reached
	 * @param clock the monotonic clock, in ns
	 */
	public ConfigCheckpointer(LogClient log, long retentionMillis, BooleanSupplier leaseValid,
			Supplier<Optional<ConfigSnapshot>> state, LongSupplier clock) {
		this.log = log;
		this.schedule = new CheckpointSchedule(clock.getAsLong(), TimeUnit.MILLISECONDS.toNanos(retentionMillis));
		this.leaseValid = leaseValid;
		this.state = state;
		this.clock = clock;
	}

	/**
	 * Starts to append.
	 * @param timer runs the appends
	 */
	public void start(ScheduledExecutorService timer) {
		timer.scheduleWithFixedDelay(this::tick, TICK_MILLIS, TICK_MILLIS, TimeUnit.MILLISECONDS);
	}

	private void tick() {
		try {
			next().ifPresent(this::append);
		}
		catch (RuntimeException ex) {
			DaemonEvent.UNEXPECTED.log("checkpoint", ex);
		}
	}

	private Optional<Checkpoint> next() {
		// The locks of follower and lease are taken before that of the schedule.
		Optional<ConfigSnapshot> reached = this.state.get().filter((snapshot) -> snapshot.version().number() > 0);
		boolean valid = this.leaseValid.getAsBoolean();
		synchronized (this) {
			return reached.flatMap((snapshot) -> this.schedule.nextCheckpoint(this.clock.getAsLong(), valid, snapshot));
		}
	}

	private void append(Checkpoint checkpoint) {
		long version = checkpoint.snapshot().version().number();
		this.log.append(ConfigFollower.STREAM, ConfigRecordCodec.encode(checkpoint))
			.whenComplete((offset, ex) -> onAnswer(version, offset, ex));
	}

	private synchronized void onAnswer(long version, Long offset, Throwable failure) {
		long now = this.clock.getAsLong();
		if (failure == null) {
			this.schedule.onCheckpointLogged(now);
			DaemonEvent.CHECKPOINT_WRITTEN.log(version, offset);
			return;
		}
		this.schedule.onAppendFailed(now);
		DaemonEvent.CHECKPOINT_FAILED.log(version, failure.getMessage());
	}

}
