package org.comfreyslip.entry.config;

import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import java.util.function.LongSupplier;
import java.util.function.Supplier;

import io.netty.channel.EventLoop;
import org.comfreyslip.entry.EntryEvent;
import org.comfreyslip.entry.EntryLog;
import org.comfreyslip.entry.config.KeyedLog.Outcome;

/**
 * Reads a keyed topic and passes on each update: continuously, or, while another daemon
 * reads for this one, only if that one knows records that have not arrived here or the
 * knowledge has become too old. Runs on the event loop.
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

	/**
	 * Backoff of a follower for each other daemon of its data centre, in ms; bounds the
	 * calls of all of them while the store is away.
	 */
	private static final long FOLLOWER_BACKOFF_MS_PER_PEER = 200;

	/** Longest backoff of a follower, in ms. */
	private static final long MAX_FOLLOWER_BACKOFF_MS = 4_000;

	/**
	 * Longest backoff of a follower that lacks records which another daemon has, in ms:
	 * the store serves others and may turn away only this daemon, which refuses requests
	 * meanwhile.
	 */
	private static final long MAX_BACKOFF_BEHIND_PEERS_MS = 1_000;

	/** Interval at which a follower checks whether it has to read, in ms. */
	private static final long FOLLOWER_CHECK_MS = 100;

	private final EventLoop loop;

	private final String topicName;

	private final KeyedLog log;

	private final KeyedFeed feed;

	private final LongSupplier elapsedNanos;

	private final Consumer<KeyedFeed.Update> apply;

	private Runnable onStoreWentBack = () -> {
	};

	private final ReadIntervals intervals;

	private final Supplier<StoreReading> reading;

	private final long relayGraceNanos;

	private long backoffMs = FIRST_BACKOFF_MS;

	/** Elapsed time in ns of the last failed read of a follower. */
	private long followerFailedAtNanos;

	/** Elapsed time in ns up to which a follower waits after a failed read. */
	private long followerPauseEndNanos;

	private boolean snapshotComplete;

	/**
	 * Creates a reader.
	 * @param loop the event loop that runs the reads
	 * @param topicName name of the topic in log lines
	 * @param log read access to the topic
	 * @param feed tracks the position in the topic, with the outcomes of this reader only
	 * @param elapsedNanos clock of the elapsed time, in ns
	 * @param apply receives each update that has records or completes a snapshot
	 * @param intervals intervals at which the topic is read
	 * @param reading tells whether this daemon reads for itself
	 * @param relayGraceMs time in which records that the reading daemon knows may still
	 * arrive from it, in ms; 0 if it does not pass them on
	 */
	public FeedReader(EventLoop loop, String topicName, KeyedLog log, KeyedFeed feed, LongSupplier elapsedNanos,
			Consumer<KeyedFeed.Update> apply, ReadIntervals intervals, Supplier<StoreReading> reading,
			long relayGraceMs) {
		this.loop = loop;
		this.topicName = topicName;
		this.log = log;
		this.feed = feed;
		this.elapsedNanos = elapsedNanos;
		this.apply = apply;
		this.intervals = intervals;
		this.reading = reading;
		this.relayGraceNanos = TimeUnit.MILLISECONDS.toNanos(relayGraceMs);
	}

	/**
	 * Sets what is done when the store has gone back to an older copy, before its records
	 * are read again.
	 * @param action the action
	 */
	public void setOnStoreWentBack(Runnable action) {
		this.onStoreWentBack = action;
	}

	/** Sends the next read when it is due; each outcome schedules the read after it. */
	public void start() {
		long now = this.elapsedNanos.getAsLong();
		StoreReading role = this.reading.get();
		if (this.feed.isSnapshotting()) {
			this.log.readNewest(this.feed.afterKey(), (outcome) -> onReadOutcome(outcome, now));
		}
		else if (role.reads() || isOverdue(now)) {
			long waitMs = this.intervals.waitMs(role);
			this.log.read(this.feed.nextOffset(), (!role.reads() || mustBeConfirmed(waitMs, now)) ? 0 : waitMs,
					(outcome) -> onReadOutcome(outcome, now));
		}
		else {
			this.loop.schedule(this::start, FOLLOWER_CHECK_MS, TimeUnit.MILLISECONDS);
		}
	}

	// Tells whether a follower has to read because it was not told in time. It waits
	// after a failed read, unless another daemon has read more since.
	private boolean isOverdue(long nowNanos) {
		if (this.feed.isBehindPeers(this.relayGraceNanos, nowNanos)
				&& this.feed.behindSinceNanos() - this.followerFailedAtNanos > 0) {
			return true;
		}
		return nowNanos - this.followerPauseEndNanos >= 0 && (this.feed.isBehindPeers(this.relayGraceNanos, nowNanos)
				|| this.feed.ageNanos(nowNanos) > TimeUnit.MILLISECONDS.toNanos(this.intervals.maxFollowerAgeMs()));
	}

	// After a start or an outage the knowledge must be confirmed before any request is
	// served, and the store may have gone back, so the read does not wait for new
	// records.
	private boolean mustBeConfirmed(long waitMs, long nowNanos) {
		boolean stale = this.feed.ageNanos(nowNanos) > TimeUnit.MILLISECONDS.toNanos(2 * waitMs);
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
		this.loop.schedule(this::start, nextPauseMs(outcome, update, now), TimeUnit.MILLISECONDS);
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

	private long nextPauseMs(Outcome outcome, KeyedFeed.Update update, long nowNanos) {
		StoreReading role = this.reading.get();
		boolean failed = !(outcome instanceof Outcome.Page);
		if (!failed) {
			this.backoffMs = FIRST_BACKOFF_MS;
		}
		if (!role.reads() && this.snapshotComplete) {
			if (failed) {
				this.followerFailedAtNanos = nowNanos;
				this.followerPauseEndNanos = nowNanos
						+ followerBackoffNanos(role, this.feed.isBehindPeers(0, nowNanos));
			}
			return (this.feed.isSnapshotting() && !failed) ? 0 : FOLLOWER_CHECK_MS;
		}
		if (failed) {
			long pause = this.backoffMs;
			this.backoffMs = Math.min(MAX_BACKOFF_MS, 2 * pause);
			return pause;
		}
		return (this.feed.isSnapshotting() || update.records().isEmpty()) ? 0 : this.intervals.pauseMs();
	}

	private static long followerBackoffNanos(StoreReading role, boolean behindPeers) {
		long longestMs = (behindPeers) ? MAX_BACKOFF_BEHIND_PEERS_MS : MAX_FOLLOWER_BACKOFF_MS;
		return TimeUnit.MILLISECONDS
			.toNanos(Math.max(MAX_BACKOFF_MS, Math.min(longestMs, FOLLOWER_BACKOFF_MS_PER_PEER * role.localPeers())));
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
