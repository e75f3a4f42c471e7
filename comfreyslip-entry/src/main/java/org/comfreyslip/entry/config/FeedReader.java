package org.comfreyslip.entry.config;

import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import java.util.function.LongSupplier;

import io.netty.channel.EventLoop;
import org.comfreyslip.entry.EntryEvent;
import org.comfreyslip.entry.EntryLog;
import org.comfreyslip.entry.config.KeyedLog.Outcome;

/**
 * Keeps reading a keyed topic and hands on what changes.
 */
public final class FeedReader {

	/** Pause after a failed read, in ms; doubles up to the longest pause. */
	private static final long FIRST_PAUSE_MS = 60;

	/**
	 * Longest pause after failed reads, in ms; short against the two seconds in which
	 * changes take effect.
	 */
	private static final long MAX_PAUSE_MS = 400;

	private final EventLoop loop;

	private final String topic;

	private final KeyedLog log;

	private final KeyedFeed feed;

	private final LongSupplier elapsedNanos;

	private final Consumer<KeyedFeed.Step> apply;

	private final long waitMs;

	private final long paceMs;

	private long pauseMs = FIRST_PAUSE_MS;

	private boolean ready;

	/**
	 * Creates a reader.
	 * @param loop the event loop
	 * @param topic name of the topic in log lines
	 * @param log read access
	 * @param feed the position
	 * @param elapsedNanos elapsed time, in ns
	 * @param apply takes each step that has records
	 * @param waitMs how long a read waits for records, in ms
	 * @param paceMs pause after a read that found records, in ms; gathers records that
	 * arrive one by one
	 */
	public FeedReader(EventLoop loop, String topic, KeyedLog log, KeyedFeed feed, LongSupplier elapsedNanos,
			Consumer<KeyedFeed.Step> apply, long waitMs, long paceMs) {
		this.loop = loop;
		this.topic = topic;
		this.log = log;
		this.feed = feed;
		this.elapsedNanos = elapsedNanos;
		this.apply = apply;
		this.waitMs = waitMs;
		this.paceMs = paceMs;
	}

	/** Sends the next read. */
	public void start() {
		long sent = this.elapsedNanos.getAsLong();
		if (this.feed.isSnapshotting()) {
			this.log.newest(this.feed.afterKey(), (outcome) -> onOutcome(outcome, sent));
		}
		else {
			// After a start or an outage the knowledge must be confirmed before anything
			// is served, so this read
			// does not wait for records.
			boolean old = this.feed.ageNanos(sent) > TimeUnit.MILLISECONDS.toNanos(2 * this.waitMs);
			this.log.read(this.feed.nextOffset(), (old) ? 0 : this.waitMs, (outcome) -> onOutcome(outcome, sent));
		}
	}

	/**
	 * Tells whether the first snapshot is complete.
	 * @return whether the content is known
	 */
	public boolean isReady() {
		return this.ready;
	}

	private void onOutcome(Outcome outcome, long sentNanos) {
		long now = this.elapsedNanos.getAsLong();
		boolean wasFailing = this.feed.isFailing();
		long age = this.feed.ageNanos(now);
		KeyedFeed.Step step = this.feed.onOutcome(outcome, sentNanos, now);
		logDependency(outcome, wasFailing, age);
		if (!step.records().isEmpty() || step.onlyKeys().isPresent()) {
			apply(step);
		}
		this.ready |= !this.feed.isSnapshotting();
		this.loop.schedule(this::start, pause(outcome, step), TimeUnit.MILLISECONDS);
	}

	// A record that cannot be applied must not end the reading.
	private void apply(KeyedFeed.Step step) {
		try {
			this.apply.accept(step);
		}
		catch (RuntimeException ex) {
			EntryLog.write(EntryEvent.TASK_FAILED, this.topic, "why", "records cannot be applied", "cause", ex);
		}
	}

	private long pause(Outcome outcome, KeyedFeed.Step step) {
		if (!(outcome instanceof Outcome.Page)) {
			long pause = this.pauseMs;
			this.pauseMs = Math.min(MAX_PAUSE_MS, 2 * pause);
			return pause;
		}
		this.pauseMs = FIRST_PAUSE_MS;
		return (this.feed.isSnapshotting() || step.records().isEmpty()) ? 0 : this.paceMs;
	}

	private void logDependency(Outcome outcome, boolean wasFailing, long ageNanos) {
		String ageMs = (ageNanos == Long.MAX_VALUE) ? "never" : Long.toString(TimeUnit.NANOSECONDS.toMillis(ageNanos));
		if (this.feed.isFailing() && !wasFailing) {
			EntryLog.write(EntryEvent.STORE_LOST, this.topic, "why", outcome, "age_ms", ageMs);
		}
		else if (!this.feed.isFailing() && wasFailing) {
			EntryLog.write(EntryEvent.STORE_BACK, this.topic, "age_ms", ageMs, "offset", this.feed.nextOffset());
		}
	}

}
