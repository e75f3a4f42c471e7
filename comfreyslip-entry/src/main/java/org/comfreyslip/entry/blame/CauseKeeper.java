package org.comfreyslip.entry.blame;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.TimeUnit;

import org.comfreyslip.entry.EntryEvent;
import org.comfreyslip.entry.EntryLog;
import org.comfreyslip.entry.UnreadableRecordException;
import org.comfreyslip.entry.config.KeyedLog;
import org.comfreyslip.entry.config.KeyedWriter;

/**
 * Keeps the causes of crashes in the store, so that they are known after all daemons have
 * restarted at once. The store is called at the start of the daemon and when this daemon
 * itself finds, renews or clears a cause; causes learnt from others are written by them.
 */
public final class CauseKeeper {

	/** Pause before a failed read or write is tried again, in ns. */
	static final long RETRY_NANOS = TimeUnit.MILLISECONDS.toNanos(700);

	/**
	 * Largest number of ended causes that a daemon removes at its start; bounds the calls
	 * when all daemons start at once.
	 */
	private static final int MAX_REMOVED_AT_START = 1;

	private final CrashBlame blame;

	private final KeyedLog log;

	private final KeyedWriter writer;

	/** Records of the pages that have been read so far. */
	private final List<KeyedLog.KeyedRecord> records = new ArrayList<>();

	/** Changes to write, by the traits of the cause. */
	private final Map<Set<String>, CauseChange> unwritten = new LinkedHashMap<>();

	private final Set<Set<String>> writing = new HashSet<>();

	private boolean reading;

	private boolean read;

	/** Steady time in ns from which calls are made. */
	private long nextCallNanos;

	/**
	 * Creates a keeper that has read nothing.
	 * @param blame the causes
	 * @param log read access to the topic of the causes
	 * @param writer write access to that topic
	 * @param nowNanos the current steady time in ns
	 */
	public CauseKeeper(CrashBlame blame, KeyedLog log, KeyedWriter writer, long nowNanos) {
		this.blame = blame;
		this.log = log;
		this.writer = writer;
		this.nextCallNanos = nowNanos;
	}

	/**
	 * Tells whether the causes of the store are known.
	 * @return whether they have been read since the start
	 */
	public boolean hasRead() {
		return this.read;
	}

	/**
	 * Starts the calls to the store that are due. Called periodically.
	 * @param nowNanos the current steady time in ns
	 * @param nowEpochMs the present time of the day in Unix ms
	 */
	public void update(long nowNanos, long nowEpochMs) {
		this.blame.takeCauseChanges().forEach((change) -> this.unwritten.put(change.traits(), change));
		if (nowNanos - this.nextCallNanos < 0) {
			return;
		}
		if (!this.read && !this.reading) {
			this.reading = true;
			readPage(Optional.empty(), nowNanos, nowEpochMs);
		}
		for (CauseChange change : List.copyOf(this.unwritten.values())) {
			if (this.writing.add(change.traits())) {
				this.unwritten.remove(change.traits());
				write(change, nowNanos, nowEpochMs);
			}
		}
	}

	private void write(CauseChange change, long nowNanos, long nowEpochMs) {
		byte[] value = change.cause().map((cause) -> CauseRecord.of(cause, nowEpochMs).encode()).orElse(new byte[0]);
		this.writer.write(CauseRecord.key(change.traits()), value, (done) -> {
			this.writing.remove(change.traits());
			EntryLog.write(EntryEvent.CRASH_CAUSE_STORED, change.traits().toString(), "kept",
					change.cause().isPresent(), "done", done);
			if (!done) {
				this.unwritten.putIfAbsent(change.traits(), change);
				this.nextCallNanos = nowNanos + RETRY_NANOS;
			}
		});
	}

	private void readPage(Optional<String> afterKey, long nowNanos, long nowEpochMs) {
		this.log.readNewest(afterKey, (outcome) -> {
			if (!(outcome instanceof KeyedLog.Outcome.Page page)) {
				this.reading = false;
				this.records.clear();
				this.nextCallNanos = nowNanos + RETRY_NANOS;
				return;
			}
			this.records.addAll(page.records());
			if (page.morePages() && !page.records().isEmpty()) {
				String lastKey = page.records().get(page.records().size() - 1).key();
				readPage(Optional.of(lastKey), nowNanos, nowEpochMs);
				return;
			}
			this.reading = false;
			this.read = true;
			restore(nowNanos, nowEpochMs);
		});
	}

	private void restore(long nowNanos, long nowEpochMs) {
		int removed = 0;
		for (KeyedLog.KeyedRecord keyed : this.records) {
			if (keyed.value().isEmpty()) {
				continue;
			}
			try {
				CauseRecord stored = CauseRecord.decode(keyed.value().get());
				boolean over = this.blame.restore(stored.cause(nowEpochMs), nowNanos);
				if (over && removed < MAX_REMOVED_AT_START) {
					removed++;
					Set<String> traits = Set.copyOf(stored.traits());
					this.unwritten.putIfAbsent(traits, new CauseChange(traits, Optional.empty()));
				}
			}
			catch (UnreadableRecordException ex) {
				EntryLog.write(EntryEvent.RECORD_UNREADABLE, keyed.key(), "offset", keyed.offset(), "why",
						ex.getMessage());
			}
		}
		this.records.clear();
	}

}
