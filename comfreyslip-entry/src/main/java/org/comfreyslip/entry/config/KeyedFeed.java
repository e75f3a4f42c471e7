package org.comfreyslip.entry.config;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;

import org.comfreyslip.entry.config.KeyedLog.KeyedRecord;
import org.comfreyslip.entry.config.KeyedLog.Outcome;

/**
 * Tracks how far a keyed topic of the store has been read and how old that knowledge is.
 * At the start, and again after records have expired, the newest record of each key is
 * read page by page. The pages are read at different times and so are not a consistent
 * snapshot; therefore the log is then read from the end offset that the first page named.
 */
public final class KeyedFeed {

	private final Set<String> snapshotKeysSoFar = new HashSet<>();

	private Optional<String> afterKey = Optional.empty();

	private boolean snapshotting = true;

	private boolean firstPage = true;

	private long nextOffset;

	private long confirmedAtNanos;

	private boolean confirmed;

	private boolean storeUnavailable;

	private long recoveredAtNanos;

	private boolean recovered;

	/**
	 * Handles the outcome of the last read.
	 * @param outcome the outcome
	 * @param sentAtNanos elapsed time at which the read was sent, in ns
	 * @param nowNanos the current elapsed time in ns
	 * @return the records to apply; none if the read failed
	 */
	public Update onReadOutcome(Outcome outcome, long sentAtNanos, long nowNanos) {
		if (outcome instanceof Outcome.Page page) {
			recordRecovery(nowNanos);
			return (this.snapshotting) ? applySnapshotPage(page) : applyLogPage(page, sentAtNanos);
		}
		if (outcome instanceof Outcome.Expired) {
			restartSnapshot();
			return Update.NONE;
		}
		this.storeUnavailable = true;
		return Update.NONE;
	}

	private void recordRecovery(long nowNanos) {
		if (this.storeUnavailable) {
			this.storeUnavailable = false;
			this.recovered = true;
			this.recoveredAtNanos = nowNanos;
		}
	}

	private Update applySnapshotPage(Outcome.Page page) {
		if (this.firstPage) {
			this.firstPage = false;
			this.nextOffset = page.endOffset();
		}
		for (KeyedRecord keyed : page.records()) {
			this.snapshotKeysSoFar.add(keyed.key());
			this.afterKey = Optional.of(keyed.key());
		}
		if (page.morePages()) {
			return new Update(page.records(), Optional.empty());
		}
		this.snapshotting = false;
		return new Update(page.records(), Optional.of(Set.copyOf(this.snapshotKeysSoFar)));
	}

	private Update applyLogPage(Outcome.Page page, long sentAtNanos) {
		this.nextOffset = page.nextOffset();
		if (page.nextOffset() >= page.endOffset() && (!this.confirmed || sentAtNanos - this.confirmedAtNanos > 0)) {
			this.confirmed = true;
			this.confirmedAtNanos = sentAtNanos;
		}
		return new Update(new ArrayList<>(page.records()), Optional.empty());
	}

	private void restartSnapshot() {
		this.snapshotting = true;
		this.firstPage = true;
		this.afterKey = Optional.empty();
		this.snapshotKeysSoFar.clear();
	}

	/**
	 * Handles a peer's statement that an offset was the end of the topic. It confirms the
	 * local knowledge only if that reaches the offset.
	 * @param endOffset the end offset that the peer has seen
	 * @param peerConfirmedAtNanos elapsed time of this daemon that is no later than the
	 * moment at which the offset was the end, in ns
	 */
	public void onPeerConfirmation(long endOffset, long peerConfirmedAtNanos) {
		boolean upToDate = !this.snapshotting && this.nextOffset >= endOffset;
		if (upToDate && (!this.confirmed || peerConfirmedAtNanos - this.confirmedAtNanos > 0)) {
			this.confirmed = true;
			this.confirmedAtNanos = peerConfirmedAtNanos;
		}
	}

	/**
	 * Tells whether the newest record of each key is still being read.
	 * @return whether the next read is a page of newest records rather than of the log
	 */
	public boolean isSnapshotting() {
		return this.snapshotting;
	}

	/**
	 * Returns the key after which the next page of newest records begins.
	 * @return the last key read, empty before the first page
	 */
	public Optional<String> afterKey() {
		return this.afterKey;
	}

	/**
	 * Returns the offset at which the next read of the log begins.
	 * @return the offset, 0 before the first page
	 */
	public long nextOffset() {
		return this.nextOffset;
	}

	/**
	 * Returns the age of the knowledge: the time since the latest moment at which it is
	 * known to have been complete.
	 * @param nowNanos the current elapsed time in ns
	 * @return the age in ns; {@link Long#MAX_VALUE} if it was never confirmed
	 */
	public long ageNanos(long nowNanos) {
		return (this.confirmed) ? nowNanos - this.confirmedAtNanos : Long.MAX_VALUE;
	}

	/**
	 * Tells whether the last read failed.
	 * @return whether the store counts as unavailable
	 */
	public boolean isStoreUnavailable() {
		return this.storeUnavailable;
	}

	/**
	 * Tells whether the store is unavailable or has recovered recently.
	 * @param withinNanos how long ago the recovery may be, in ns
	 * @param nowNanos the current elapsed time in ns
	 * @return whether an outage is going on or ended within that time
	 */
	public boolean hadOutageWithin(long withinNanos, long nowNanos) {
		return this.storeUnavailable || (this.recovered && nowNanos - this.recoveredAtNanos < withinNanos);
	}

	/**
	 * What a read brought.
	 *
	 * @param records the records to apply, in order; may be empty
	 * @param snapshotKeys present with the last page of newest records: all keys that
	 * exist, so that any other key is gone
	 */
	public record Update(List<KeyedRecord> records, Optional<Set<String>> snapshotKeys) {

		static final Update NONE = new Update(List.of(), Optional.empty());

	}

}
