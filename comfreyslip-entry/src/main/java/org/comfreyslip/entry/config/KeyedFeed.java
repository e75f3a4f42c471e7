package org.comfreyslip.entry.config;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;

import org.comfreyslip.entry.config.KeyedLog.KeyedRecord;
import org.comfreyslip.entry.config.KeyedLog.Outcome;

/**
 * Position in a keyed topic: which read comes next, and how old the knowledge is. After a
 * start and after records expired, it reads the newest record of each key, then the log
 * from the end that the first of those pages named, because pages are not a snapshot.
 */
public final class KeyedFeed {

	private final Set<String> pageKeys = new HashSet<>();

	private Optional<String> afterKey = Optional.empty();

	private boolean snapshotting = true;

	private boolean firstPage = true;

	private long nextOffset;

	private long confirmedNanos;

	private boolean confirmed;

	private boolean failing;

	private long recoveredNanos;

	private boolean recovered;

	/**
	 * Takes the outcome of the read that was sent last.
	 * @param outcome the outcome
	 * @param sentNanos when the read was sent, in elapsed ns
	 * @param nowNanos the current elapsed time in ns
	 * @return what changed
	 */
	public Step onOutcome(Outcome outcome, long sentNanos, long nowNanos) {
		if (outcome instanceof Outcome.Page page) {
			onSuccess(nowNanos);
			return (this.snapshotting) ? onSnapshotPage(page) : onLogPage(page, sentNanos);
		}
		if (outcome instanceof Outcome.Expired) {
			restartSnapshot();
			return Step.NOTHING;
		}
		this.failing = true;
		return Step.NOTHING;
	}

	private void onSuccess(long nowNanos) {
		if (this.failing) {
			this.failing = false;
			this.recovered = true;
			this.recoveredNanos = nowNanos;
		}
	}

	private Step onSnapshotPage(Outcome.Page page) {
		if (this.firstPage) {
			this.firstPage = false;
			this.nextOffset = page.endOffset();
		}
		for (KeyedRecord keyed : page.records()) {
			this.pageKeys.add(keyed.key());
			this.afterKey = Optional.of(keyed.key());
		}
		if (page.morePages()) {
			return new Step(page.records(), Optional.empty());
		}
		this.snapshotting = false;
		return new Step(page.records(), Optional.of(Set.copyOf(this.pageKeys)));
	}

	private Step onLogPage(Outcome.Page page, long sentNanos) {
		this.nextOffset = page.nextOffset();
		if (page.nextOffset() >= page.endOffset() && (!this.confirmed || sentNanos - this.confirmedNanos > 0)) {
			this.confirmed = true;
			this.confirmedNanos = sentNanos;
		}
		return new Step(new ArrayList<>(page.records()), Optional.empty());
	}

	private void restartSnapshot() {
		this.snapshotting = true;
		this.firstPage = true;
		this.afterKey = Optional.empty();
		this.pageKeys.clear();
	}

	/**
	 * Accepts a peer's statement that an offset was the end of the topic.
	 * @param endOffset the end as the peer knows it
	 * @param confirmedAtNanos when that was true at the latest, in elapsed ns
	 */
	public void onPeerConfirmation(long endOffset, long confirmedAtNanos) {
		boolean upToDate = !this.snapshotting && this.nextOffset >= endOffset;
		if (upToDate && (!this.confirmed || confirmedAtNanos - this.confirmedNanos > 0)) {
			this.confirmed = true;
			this.confirmedNanos = confirmedAtNanos;
		}
	}

	/**
	 * Tells whether the next read is a page of newest records.
	 * @return whether a snapshot is being read
	 */
	public boolean isSnapshotting() {
		return this.snapshotting;
	}

	/**
	 * Returns the last key of the pages read so far.
	 * @return the key, empty before the first page
	 */
	public Optional<String> afterKey() {
		return this.afterKey;
	}

	/**
	 * Returns the offset of the next record.
	 * @return the offset
	 */
	public long nextOffset() {
		return this.nextOffset;
	}

	/**
	 * Returns the age of the newest moment at which the knowledge is known to have been
	 * complete.
	 * @param nowNanos the current elapsed time in ns
	 * @return the age in ns, {@link Long#MAX_VALUE} if it was never confirmed
	 */
	public long ageNanos(long nowNanos) {
		return (this.confirmed) ? nowNanos - this.confirmedNanos : Long.MAX_VALUE;
	}

	/**
	 * Tells whether the last read failed.
	 * @return whether the store is out of reach
	 */
	public boolean isFailing() {
		return this.failing;
	}

	/**
	 * Tells whether the store was out of reach within a time before now.
	 * @param withinNanos the time in ns
	 * @param nowNanos the current elapsed time in ns
	 * @return whether an outage lasts or ended within that time
	 */
	public boolean hadOutage(long withinNanos, long nowNanos) {
		return this.failing || (this.recovered && nowNanos - this.recoveredNanos < withinNanos);
	}

	/**
	 * What a read changed.
	 *
	 * @param records the records to apply, in order
	 * @param onlyKeys after a complete snapshot, the keys that exist; others are gone
	 */
	public record Step(List<KeyedRecord> records, Optional<Set<String>> onlyKeys) {

		static final Step NOTHING = new Step(List.of(), Optional.empty());

	}

}
