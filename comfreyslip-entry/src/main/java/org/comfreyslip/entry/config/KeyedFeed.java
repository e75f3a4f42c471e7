package org.comfreyslip.entry.config;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Set;

import org.comfreyslip.entry.config.KeyedLog.KeyedRecord;
import org.comfreyslip.entry.config.KeyedLog.Outcome;

/**
 * Tracks how far a keyed topic of the store has been read and how old that knowledge is.
 * At the start, and again after records have expired, the newest record of each key is
 * read page by page. The pages are read at different times and so are not a consistent
 * snapshot; therefore the log is then read from the end offset that the first page named.
 * <p>
 * If the store has gone back to an older copy, its offsets are given out again. All keys
 * are then read anew, and nothing from before counts as a confirmation.
 */
public final class KeyedFeed {

	private final Set<String> snapshotKeysSoFar = new HashSet<>();

	private Optional<String> afterKey = Optional.empty();

	private boolean snapshotting = true;

	/** Whether a snapshot has been completed. */
	private boolean snapshotCompleted;

	private boolean firstPage = true;

	/** Era of the store to which the offsets belong; negative before the first page. */
	private long era = -1;

	private long nextOffset;

	private long confirmedAtNanos;

	private boolean confirmed;

	private boolean confirmationsHeld;

	private boolean storeUnavailable;

	private long recoveredAtNanos;

	private boolean recovered;

	/** Position furthest in the topic that another daemon has stated. */
	private TopicPosition peerPosition = TopicPosition.UNKNOWN;

	/** Elapsed time in ns since which this daemon has been behind that position. */
	private long behindSinceNanos;

	/** Whether another daemon of the data centre has confirmed its knowledge. */
	private boolean confirmedNearby;

	/** Latest elapsed time in ns at which such a daemon knew the topic to its end. */
	private long confirmedNearbyAtNanos;

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
			if (isOfAnotherEra(page, nowNanos)) {
				return Update.NONE;
			}
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

	// Starts a new snapshot if the store has gone back since the last page. A page from
	// before that is ignored.
	private boolean isOfAnotherEra(Outcome.Page page, long nowNanos) {
		long before = this.era;
		this.era = Math.max(before, page.era());
		if (before >= 0 && page.era() > before) {
			this.recovered = true;
			this.recoveredAtNanos = nowNanos;
			restartSnapshot();
		}
		return before >= 0 && page.era() != before;
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
		this.snapshotCompleted = true;
		return new Update(page.records(), Optional.of(Set.copyOf(this.snapshotKeysSoFar)));
	}

	private Update applyLogPage(Outcome.Page page, long sentAtNanos) {
		this.nextOffset = page.nextOffset();
		if (page.nextOffset() >= page.endOffset()) {
			confirm(sentAtNanos);
			// Another daemon that stated more was wrong, or will state it again.
			this.peerPosition = TopicPosition.UNKNOWN;
		}
		return new Update(new ArrayList<>(page.records()), Optional.empty());
	}

	private void confirm(long atNanos) {
		if (!this.confirmationsHeld && (!this.confirmed || atNanos - this.confirmedAtNanos > 0)) {
			this.confirmed = true;
			this.confirmedAtNanos = atNanos;
		}
	}

	/**
	 * Sets whether reads and peers confirm the local knowledge. They must not while the
	 * store holds older records than those that were read before it went back.
	 * @param held whether confirmations are ignored
	 */
	public void setConfirmationsHeld(boolean held) {
		this.confirmationsHeld = held;
	}

	/**
	 * Tells whether confirmations are ignored.
	 * @return whether {@link #setConfirmationsHeld} has stopped them
	 */
	public boolean areConfirmationsHeld() {
		return this.confirmationsHeld;
	}

	private void restartSnapshot() {
		this.snapshotting = true;
		this.firstPage = true;
		this.afterKey = Optional.empty();
		this.snapshotKeysSoFar.clear();
	}

	/**
	 * Handles a peer's statement that an offset was the end of the topic. It confirms the
	 * local knowledge only if that reaches the offset in the same era of the store.
	 * @param peerEra era of the store in which the peer has seen the offset
	 * @param endOffset the end offset that the peer has seen
	 * @param peerConfirmedAtNanos elapsed time of this daemon that is no later than the
	 * moment at which the offset was the end, in ns
	 */
	public void onPeerConfirmation(long peerEra, long endOffset, long peerConfirmedAtNanos) {
		if (!this.snapshotting && this.era == peerEra && this.nextOffset >= endOffset) {
			confirm(peerConfirmedAtNanos);
		}
	}

	/**
	 * Handles the position of another daemon.
	 * @param position the position that it stated
	 * @param confirmedAtNanos elapsed time of this daemon that is no later than the
	 * moment at which the position was the end of the topic, in ns; empty if the
	 * statement cannot be dated
	 * @param nowNanos the current elapsed time in ns
	 */
	public void onPeerPosition(TopicPosition position, OptionalLong confirmedAtNanos, long nowNanos) {
		if (position.isBeyond(this.peerPosition)) {
			if (!isBehindPeers()) {
				this.behindSinceNanos = nowNanos;
			}
			this.peerPosition = position;
		}
		confirmedAtNanos.ifPresent((atNanos) -> onPeerConfirmation(position.era(), position.offset(), atNanos));
	}

	/**
	 * Records that another daemon of the data centre knew the topic to its end, whether
	 * or not this one does.
	 * @param position the position that it stated; ignored if a further one is known
	 * @param atNanos elapsed time of this daemon that is no later than that moment, in ns
	 */
	public void onConfirmationNearby(TopicPosition position, long atNanos) {
		boolean current = !this.peerPosition.isBeyond(position);
		if (current && (!this.confirmedNearby || atNanos - this.confirmedNearbyAtNanos > 0)) {
			this.confirmedNearby = true;
			this.confirmedNearbyAtNanos = atNanos;
		}
	}

	/**
	 * Returns the age of the best knowledge among the other daemons of the data centre.
	 * @param nowNanos the current elapsed time in ns
	 * @return the age in ns; {@link Long#MAX_VALUE} if none has confirmed its knowledge
	 */
	public long ageNearbyNanos(long nowNanos) {
		return (this.confirmedNearby) ? nowNanos - this.confirmedNearbyAtNanos : Long.MAX_VALUE;
	}

	/**
	 * Asks for a read of the topic to its end, as if another daemon had stated a further
	 * position.
	 * @param nowNanos the current elapsed time in ns
	 */
	public void requireRead(long nowNanos) {
		onPeerPosition(new TopicPosition(Long.MAX_VALUE, -1, this.era), OptionalLong.empty(), nowNanos);
	}

	private boolean isBehindPeers() {
		return this.peerPosition.isBeyond(new TopicPosition(this.nextOffset, -1, this.era));
	}

	/**
	 * Tells whether another daemon has known records for some time that this one lacks.
	 * @param graceNanos time in which they may still arrive from that daemon, in ns
	 * @param nowNanos the current elapsed time in ns
	 * @return whether this daemon should read the topic
	 */
	public boolean isBehindPeers(long graceNanos, long nowNanos) {
		return isBehindPeers() && nowNanos - this.behindSinceNanos >= graceNanos;
	}

	/**
	 * Returns since when other daemons have known records that this one lacks.
	 * @return the elapsed time in ns, of the last time if this daemon lacks none now
	 */
	long behindSinceNanos() {
		return this.behindSinceNanos;
	}

	/**
	 * Returns the position up to which the topic has been read.
	 * @param currentNanos age in ns up to which the knowledge counts as current because
	 * this daemon waits at the store for the next record; 0 if the age at the store
	 * matters
	 * @param nowNanos the current elapsed time in ns
	 * @return the position; {@link TopicPosition#UNKNOWN} before the snapshot is complete
	 */
	public TopicPosition position(long currentNanos, long nowNanos) {
		if (this.snapshotting) {
			return TopicPosition.UNKNOWN;
		}
		long age = (this.confirmed) ? ageNanos(nowNanos) : -1;
		return new TopicPosition(this.nextOffset, (age >= 0 && age <= currentNanos) ? 0 : age, this.era);
	}

	/**
	 * Handles records that another daemon has read and passed on. They confirm nothing:
	 * records after them may exist.
	 * @param relayEra era of the store to which the offsets of the records belong
	 * @param records the records, with consecutive offsets; not empty
	 * @return the records to apply; none if records before them are missing here
	 */
	public Update onRelayedRecords(long relayEra, List<KeyedRecord> records) {
		if (this.snapshotting || relayEra != this.era || records.get(0).offset() > this.nextOffset) {
			return Update.NONE;
		}
		List<KeyedRecord> unread = records.stream().filter((keyed) -> keyed.offset() >= this.nextOffset).toList();
		if (!unread.isEmpty()) {
			this.nextOffset = unread.get(unread.size() - 1).offset() + 1;
		}
		return new Update(unread, Optional.empty());
	}

	/**
	 * Returns how often the store had gone back to an older copy at the last read.
	 * @return the number that the store stated, 0 if it states none; negative before the
	 * first read
	 */
	public long era() {
		return this.era;
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
	 * Tells whether the newest record of every key has been read at least once.
	 * @return whether the content of the topic is known
	 */
	public boolean hasBeenRead() {
		return this.snapshotCompleted;
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
