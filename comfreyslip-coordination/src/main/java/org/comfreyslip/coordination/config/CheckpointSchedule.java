package org.comfreyslip.coordination.config;

import java.util.Optional;

import org.comfreyslip.coordination.Invariant;
import org.comfreyslip.coordination.config.ConfigRecord.Checkpoint;

/**
 * Decides when the holder of the maintenance lease appends a checkpoint. The interval
 * between checkpoints is a third of the log's retention, so that the log still holds a
 * checkpoint for a reader without state after two failed appends in a row. Not
 * thread-safe.
 */
public final class CheckpointSchedule {

	private static final int INTERVALS_PER_RETENTION = 3;

	private static final int RETRIES_PER_INTERVAL = 20;

	private final long intervalNanos;

	private long nextDueNanos;

	private boolean appendInFlight;

	private long lastCheckpointOffset = -1;

	/**
	 * Creates a schedule whose first checkpoint is due at once, because the previous
	 * lease holder may have crashed long after its last checkpoint.
	 * @param nowNanos monotonic time in nanoseconds
	 * @param retentionNanos how long the log keeps a record, in nanoseconds
	 */
	public CheckpointSchedule(long nowNanos, long retentionNanos) {
		this.intervalNanos = retentionNanos / INTERVALS_PER_RETENTION;
		this.nextDueNanos = nowNanos;
	}

	/**
	 * Returns the checkpoint to append now. A returned checkpoint counts as in flight
	 * until {@link #onCheckpointLogged} or {@link #onAppendFailed}.
	 * @param nowNanos monotonic time in nanoseconds
	 * @param hasValidLease whether this daemon holds the maintenance lease
	 * @param state the snapshot of the daemon's fold
	 * @return the checkpoint, empty if none is due, the lease is not held or an append is
	 * in flight
	 * @throws org.comfreyslip.coordination.CodedException with
	 * {@link org.comfreyslip.coordination.ErrorCode#INVARIANT_VIOLATED} if the state was
	 * folded up to a lower offset than the checkpoint before
	 */
	public Optional<Checkpoint> nextCheckpoint(long nowNanos, boolean hasValidLease, ConfigSnapshot state) {
		if (!hasValidLease || this.appendInFlight || nowNanos - this.nextDueNanos < 0) {
			return Optional.empty();
		}
		Invariant.check(state.foldedUpTo() >= this.lastCheckpointOffset,
				"a checkpoint up to " + state.foldedUpTo() + " follows one up to " + this.lastCheckpointOffset);
		this.lastCheckpointOffset = state.foldedUpTo();
		this.appendInFlight = true;
		return Optional.of(new Checkpoint(state));
	}

	/**
	 * Records that the log acknowledged the checkpoint, or that a checkpoint of another
	 * daemon was read.
	 * @param nowNanos monotonic time in nanoseconds
	 */
	public void onCheckpointLogged(long nowNanos) {
		this.appendInFlight = false;
		this.nextDueNanos = nowNanos + this.intervalNanos;
	}

	/**
	 * Records that the log refused the append or that its outcome is unknown. The
	 * checkpoint is retried soon; a second one in the log has no effect.
	 * @param nowNanos monotonic time in nanoseconds
	 */
	public void onAppendFailed(long nowNanos) {
		this.appendInFlight = false;
		this.nextDueNanos = nowNanos + this.intervalNanos / RETRIES_PER_INTERVAL;
	}

}
