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
 * Appends checkpoints of the configuration to the log while this daemon holds the
 * maintenance lease. Thread-safe.
 */
public final class ConfigCheckpointer {

	private static final long CHECK_INTERVAL_MILLIS = 500;

	private final LogClient log;

	private final CheckpointSchedule schedule;

	private final BooleanSupplier holdsLease;

	private final Supplier<Optional<ConfigSnapshot>> reachedState;

	private final LongSupplier clock;

	/**
	 * Creates a checkpointer; it is idle until {@link #start}.
	 * @param log the client of the log
	 * @param retentionMillis how long the log retains a record, in ms
	 * @param holdsLease whether this daemon holds the maintenance lease
	 * @param reachedState the configuration state that this daemon has reached, or empty
	 * before there is one
	 * @param clock the monotonic clock, in ns
	 */
	public ConfigCheckpointer(LogClient log, long retentionMillis, BooleanSupplier holdsLease,
			Supplier<Optional<ConfigSnapshot>> reachedState, LongSupplier clock) {
		this.log = log;
		this.schedule = new CheckpointSchedule(clock.getAsLong(), TimeUnit.MILLISECONDS.toNanos(retentionMillis));
		this.holdsLease = holdsLease;
		this.reachedState = reachedState;
		this.clock = clock;
	}

	/**
	 * Starts the periodic check whether a checkpoint is due.
	 * @param timer runs the check
	 */
	public void start(ScheduledExecutorService timer) {
		timer.scheduleWithFixedDelay(this::appendDueCheckpoint, CHECK_INTERVAL_MILLIS, CHECK_INTERVAL_MILLIS,
				TimeUnit.MILLISECONDS);
	}

	private void appendDueCheckpoint() {
		try {
			nextCheckpoint().ifPresent(this::append);
		}
		catch (RuntimeException ex) {
			DaemonEvent.UNEXPECTED.log("checkpoint", ex);
		}
	}

	private Optional<Checkpoint> nextCheckpoint() {
		// Lock order: the follower and the lease take their locks before this object
		// takes its own, which guards the schedule.
		Optional<ConfigSnapshot> reached = this.reachedState.get()
			.filter((snapshot) -> snapshot.version().number() > 0);
		boolean valid = this.holdsLease.getAsBoolean();
		synchronized (this) {
			return reached.flatMap((snapshot) -> this.schedule.nextCheckpoint(this.clock.getAsLong(), valid, snapshot));
		}
	}

	private void append(Checkpoint checkpoint) {
		long version = checkpoint.snapshot().version().number();
		this.log.append(ConfigFollower.STREAM, ConfigRecordCodec.encode(checkpoint))
			.whenComplete((offset, ex) -> onAppendEnd(version, offset, ex));
	}

	private synchronized void onAppendEnd(long version, Long offset, Throwable failure) {
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
