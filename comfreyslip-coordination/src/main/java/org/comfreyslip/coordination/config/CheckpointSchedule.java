package org.comfreyslip.coordination.config;

import java.util.Optional;

import org.comfreyslip.coordination.Invariant;
import org.comfreyslip.coordination.config.ConfigRecord.Checkpoint;

/**
 * Decides when the holder of the maintenance lease appends a checkpoint. Each interval is
 * a third of the log's retention, so that two appends in a row may fail before a reader
 * without state finds none. Not thread-safe.
 */
public final class CheckpointSchedule {

	private static final int INTERVALS_PER_RETENTION = 3;

	private static final int RETRIES_PER_INTERVAL = 20;

	private final long interval;

	private long nextDue;

	private boolean inFlight;

	private long highestFolded = -1;

	/**
	 * Creates a schedule whose first checkpoint is due at once, because the previous
	 * holder may have died long after its last one.
	 * @param now the current time
	 * @param retention the log's retention, in nanoseconds
	 */
	public CheckpointSchedule(long now, long retention) {
		this.interval = retention / INTERVALS_PER_RETENTION;
		this.nextDue = now;
	}

	/**
	 * Returns the checkpoint to append now.
	 * @param now the current time
	 * @param leaseValid whether this daemon holds the maintenance lease
	 * @param state the state of the daemon's fold
	 * @return the checkpoint, empty if none is due
	 */
	public Optional<Checkpoint> next(long now, boolean leaseValid, ConfigSnapshot state) {
		if (!leaseValid || this.inFlight || now - this.nextDue < 0) {
			return Optional.empty();
		}
		Invariant.check(state.foldedUpTo() >= this.highestFolded,
				"a checkpoint up to " + state.foldedUpTo() + " follows one up to " + this.highestFolded);
		this.highestFolded = state.foldedUpTo();
		this.inFlight = true;
		return Optional.of(new Checkpoint(state));
	}

	/**
	 * The append was answered, or a checkpoint of another daemon was read.
	 * @param now the current time
	 */
	public void onCheckpointLogged(long now) {
		this.inFlight = false;
		this.nextDue = now + this.interval;
	}

	/**
	 * The append was refused or its answer was lost. A second checkpoint does no harm, so
	 * it is appended again soon.
	 * @param now the current time
	 */
	public void onAppendFailed(long now) {
		this.inFlight = false;
		this.nextDue = now + this.interval / RETRIES_PER_INTERVAL;
	}

}
