package org.comfreyslip.entry.config;

import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import java.util.function.LongSupplier;

import io.netty.channel.EventLoop;
import org.comfreyslip.entry.EntryEvent;
import org.comfreyslip.entry.EntryLog;
import org.comfreyslip.entry.config.KeyedLog.Outcome;

/**
 * Reads a keyed topic continuously and passes on each update. Runs on the event loop.
 */
public final class FeedReader {

	/**
	 * Initial backoff after a failed read, in ms; doubles with each further failure.
	 */
	private static final long FIRST_BACKOFF_MS = 60;

	/**
	 * Longest backoff after failed reads, in ms: a small part of the two seconds within
	 * which changes must take effect.
	 */
	private static final long MAX_BACKOFF_MS = 400;

	private final EventLoop loop;

	private final String topicName;

	private final KeyedLog log;

	private final KeyedFeed feed;

	private final LongSupplier elapsedNanos;

	private final Consumer<KeyedFeed.Update> apply;

	private Runnable onStoreWentBack = () -> {
	};

	private final long waitMs;

	private final long readPauseMs;

	private long backoffMs = FIRST_BACKOFF_MS;

	private boolean snapshotComplete;

	/**
	 * Creates a reader.
	 * @param loop the event loop that runs the reads
	 * @param topicName name of the topic in log lines
	 * @param log read access to the topic
	 * @param feed tracks the position in the topic, with the outcomes of this reader only
	 * @param elapsedNanos clock of the elapsed time, in ns
	 * @param apply receives each update that has records or completes a snapshot
	 * @param waitMs how long a read waits at the store for records, in ms
	 * @param readPauseMs pause after a read that returned records, in ms, so that records
	 * that arrive one by one are read together
	 */
	public FeedReader(EventLoop loop, String topicName, KeyedLog log, KeyedFeed feed, LongSupplier elapsedNanos,
			Consumer<KeyedFeed.Update> apply, long waitMs, long readPauseMs) {
		this.loop = loop;
		this.topicName = topicName;
		this.log = log;
		this.feed = feed;
		this.elapsedNanos = elapsedNanos;
		this.apply = apply;
		this.waitMs = waitMs;
		this.readPauseMs = readPauseMs;
	}

	/**
	 * Sets what is done when the store has gone back to an older copy, before its records
	 * are read again.
	 * @param action the action
	 */
	public void setOnStoreWentBack(Runnable action) {
		this.onStoreWentBack = action;
	}

	/** Sends the next read; each outcome schedules the read after it. */
	public void start() {
		long sentAtNanos = this.elapsedNanos.getAsLong();
		if (this.feed.isSnapshotting()) {
			this.log.readNewest(this.feed.afterKey(), (outcome) -> onReadOutcome(outcome, sentAtNanos));
		}
		else {
			this.log.read(this.feed.nextOffset(), (mustBeConfirmed(sentAtNanos)) ? 0 : this.waitMs,
					(outcome) -> onReadOutcome(outcome, sentAtNanos));
		}
	}

	// After a start or an outage the knowledge must be confirmed before any request is
	// served, and the store may have gone back, so the read does not wait for new
	// records.
	private boolean mustBeConfirmed(long nowNanos) {
		boolean stale = this.feed.ageNanos(nowNanos) > TimeUnit.MILLISECONDS.toNanos(2 * this.waitMs);
		return this.feed.isStoreUnavailable() || (stale && !this.feed.areConfirmationsHeld());
	}

	/**
	 * Tells whether the newest record of every key has been read at least once.
	 * @return whether the content of the topic is known
	 */
	public boolean isReady() {
		return this.snapshotComplete;
	}

	private void onReadOutcome(Outcome outcome, long sentAtNanos) {
		long now = this.elapsedNanos.getAsLong();
		long era = this.feed.era();
		boolean wasFailing = this.feed.isStoreUnavailable();
		long age = this.feed.ageNanos(now);
		KeyedFeed.Update update = this.feed.onReadOutcome(outcome, sentAtNanos, now);
		logAvailabilityChange(outcome, wasFailing, age);
		if (era >= 0 && this.feed.era() > era) {
			EntryLog.write(EntryEvent.STORE_WENT_BACK, this.topicName, "era", this.feed.era(), "before", era);
			this.onStoreWentBack.run();
		}
		if (!update.records().isEmpty() || update.snapshotKeys().isPresent()) {
			apply(update);
		}
		this.snapshotComplete |= !this.feed.isSnapshotting();
		this.loop.schedule(this::start, nextPauseMs(outcome, update), TimeUnit.MILLISECONDS);
	}

	// An update that cannot be applied must not stop the reader.
	private void apply(KeyedFeed.Update update) {
		try {
			this.apply.accept(update);
		}
		catch (RuntimeException ex) {
			EntryLog.write(EntryEvent.TASK_FAILED, this.topicName, "why", "records cannot be applied", "cause", ex);
		}
	}

	private long nextPauseMs(Outcome outcome, KeyedFeed.Update update) {
		if (!(outcome instanceof Outcome.Page)) {
			long pause = this.backoffMs;
			this.backoffMs = Math.min(MAX_BACKOFF_MS, 2 * pause);
			return pause;
		}
		this.backoffMs = FIRST_BACKOFF_MS;
		return (this.feed.isSnapshotting() || update.records().isEmpty()) ? 0 : this.readPauseMs;
	}

	private void logAvailabilityChange(Outcome outcome, boolean wasFailing, long ageNanos) {
		String ageMs = (ageNanos == Long.MAX_VALUE) ? "never" : Long.toString(TimeUnit.NANOSECONDS.toMillis(ageNanos));
		if (this.feed.isStoreUnavailable() && !wasFailing) {
			EntryLog.write(EntryEvent.STORE_LOST, this.topicName, "why", outcome, "age_ms", ageMs);
		}
		else if (!this.feed.isStoreUnavailable() && wasFailing) {
			EntryLog.write(EntryEvent.STORE_BACK, this.topicName, "age_ms", ageMs, "offset", this.feed.nextOffset());
		}
	}

}
