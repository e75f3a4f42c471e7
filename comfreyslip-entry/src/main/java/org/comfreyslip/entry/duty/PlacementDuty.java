package org.comfreyslip.entry.duty;

import java.util.Optional;
import java.util.concurrent.TimeUnit;

import org.comfreyslip.entry.peer.PeerSchedule;

/**
 * Whether this daemon holds the placement duty, and which call to the store is due. It
 * serves deployments whose daemons leave and join in series: only the end of the holder
 * moves the duty. Two daemons may never give orders at the same time: the holder does so
 * only for a window that starts with the sending of its last append, and a successor
 * waits until the windows of all before it have ended.
 * <p>
 * All times are elapsed ns, which also pass while the host is suspended. At most one call
 * is open; each must be followed by its outcome.
 */
public final class PlacementDuty {

	/** Longest window in which a holder gives orders after an append, in ms. */
	public static final long MAX_WINDOW_MS = 2_000;

	/** Interval of the notices from the holder to its standbys, in ms. */
	public static final long NOTICE_INTERVAL_MS = 100;

	/** First window of a tenure, in ms. */
	static final long FIRST_WINDOW_MS = 250;

	/** Silence of the holder after which the first standby claims, in ns. */
	private static final long SILENCE_NANOS = TimeUnit.MILLISECONDS.toNanos(200);

	/**
	 * Silence after which a standby reads the last record, in ns: one notice is missing,
	 * although notices are sent and read every 20 ms only. The holder may have appended
	 * since its last notice; if the record were read only at the claim, its wait would
	 * begin later.
	 */
	private static final long CHECK_NANOS = TimeUnit.MILLISECONDS.toNanos(150);

	/**
	 * Time without a decision from which on a silence may be this daemon's own, in ns.
	 */
	private static final long STALL_NANOS = TimeUnit.MILLISECONDS.toNanos(NOTICE_INTERVAL_MS);

	/** Least silence after which a daemon that is no standby claims, in ms. */
	private static final long OUTSIDER_SILENCE_MS = 2_000;

	/** Further wait of each standby, and of each other daemon, by rank, in ns. */
	private static final long RANK_STEP_NANOS = TimeUnit.MILLISECONDS.toNanos(60);

	/** Factor of the era in a fencing token. */
	private static final long TOKENS_PER_ERA = 1L << 32;

	/** Lies above the tokens that the store's group gives in the same era. */
	private static final long FIRST_TOKEN = 1L << 31;

	private final String name;

	/** The end of the log as far as known; null before the first read or notice. */
	private LogEnd end;

	/** The append whose outcome is not known; null if there is none. */
	private Pending pending;

	private boolean callOpen;

	private boolean readDue;

	private boolean holder;

	private boolean active;

	private int rank = DutyNotice.NO_STANDBY;

	/** When the holder was heard of last, or a reason to wait for it arose. */
	private long lastHeardNanos;

	/** When the last record was read; valid only as a standby. */
	private long lastReadNanos;

	/** When the last call was asked for. */
	private long lastDecisionNanos;

	/** Window of this tenure, in ms. */
	private long windowMs = FIRST_WINDOW_MS;

	/** Sending of the last append that succeeded; valid only as the holder. */
	private long windowStartNanos;

	/** Length of the window that this append stated, in ns. */
	private long windowNanos;

	/** End of the windows of all holders before; valid only as the holder. */
	private long ordersFromNanos;

	private long highestRejectedToken;

	/** Why this daemon became the holder last, or ceased to be it. */
	private String lastChange = "no record was read";

	/** Number of this daemon's last append, by which it knows the record again. */
	private long lastSerial;

	/**
	 * Creates the state of a daemon that has just started and knows of no holder.
	 * @param name name of the daemon, different for each incarnation
	 * @param nowNanos the current elapsed time in ns
	 */
	public PlacementDuty(String name, long nowNanos) {
		this.name = name;
		this.lastHeardNanos = nowNanos;
		this.lastReadNanos = nowNanos;
		this.lastDecisionNanos = nowNanos;
	}

	/**
	 * Returns the call to the store that is due. Asked for at least every 50 ms; after a
	 * longer time this daemon was suspended itself, and waits for notices again before it
	 * claims.
	 * @param mayHold whether this daemon reaches the store and the engines, is not
	 * stopping, and no daemon of an earlier release takes part
	 * @param ordersWanted whether there may be orders to give
	 * @param outsiderNanos silence after which a daemon that is no standby claims, in ns
	 * @param outsiderRank rank of this daemon among all that may claim then, from 0
	 * @param nowNanos the current elapsed time in ns
	 * @return the call; empty if none is due
	 */
	public Optional<DutyCall> takeCall(boolean mayHold, boolean ordersWanted, long outsiderNanos, int outsiderRank,
			long nowNanos) {
		setMayHold(mayHold, nowNanos);
		if (!this.holder && nowNanos - this.lastDecisionNanos > STALL_NANOS) {
			this.lastHeardNanos = nowNanos;
		}
		this.lastDecisionNanos = nowNanos;
		if (this.callOpen) {
			return Optional.empty();
		}
		Optional<DutyCall> call = nextCall(ordersWanted, outsiderNanos, outsiderRank, nowNanos);
		call.ifPresent((one) -> this.callOpen = true);
		return call;
	}

	/**
	 * Sets whether this daemon may hold the duty, also while no call is asked for.
	 * @param mayHold see {@link #takeCall}
	 * @param nowNanos the current elapsed time in ns
	 */
	void setMayHold(boolean mayHold, long nowNanos) {
		this.active = mayHold;
		if (this.holder && mayHold) {
			this.lastHeardNanos = nowNanos;
		}
	}

	private Optional<DutyCall> nextCall(boolean ordersWanted, long outsiderNanos, int outsiderRank, long nowNanos) {
		if (this.holder) {
			return nextCallOfHolder(ordersWanted, nowNanos);
		}
		if (!this.active || !isClaimDue(outsiderNanos, outsiderRank, nowNanos)) {
			this.pending = null;
			return (this.active && isCheckDue(nowNanos)) ? Optional.of(new DutyCall.Read()) : Optional.empty();
		}
		if (this.readDue || this.end == null) {
			return Optional.of(new DutyCall.Read());
		}
		if (this.pending != null) {
			return Optional.of(repeat(nowNanos));
		}
		this.windowMs = FIRST_WINDOW_MS;
		return Optional.of(append(Math.max(this.windowMs, this.end.waitMs()), false, nowNanos));
	}

	private Optional<DutyCall> nextCallOfHolder(boolean ordersWanted, long nowNanos) {
		if (this.readDue) {
			return Optional.of(new DutyCall.Read());
		}
		if (this.pending != null) {
			return Optional.of(repeat(nowNanos));
		}
		boolean waited = nowNanos - this.ordersFromNanos >= 0;
		if (!this.active) {
			return Optional.of(append((waited) ? 0 : this.end.waitMs(), true, nowNanos));
		}
		boolean due = nowNanos - this.windowStartNanos >= this.windowNanos / 2;
		return (ordersWanted && waited && due) ? Optional.of(append(this.windowMs, false, nowNanos)) : Optional.empty();
	}

	private DutyCall append(long waitMs, boolean released, long nowNanos) {
		DutyRecord content = new DutyRecord(this.name, ++this.lastSerial, this.end.era(), waitMs, released);
		this.pending = new Pending(this.end, content, this.windowMs, nowNanos, nowNanos);
		return new DutyCall.Append(this.end.offset() + 1, content);
	}

	private DutyCall repeat(long nowNanos) {
		this.pending = this.pending.sentAgain(nowNanos);
		return new DutyCall.Append(this.pending.before().offset() + 1, this.pending.content());
	}

	private boolean isCheckDue(long nowNanos) {
		return this.rank != DutyNotice.NO_STANDBY && nowNanos - this.lastHeardNanos >= CHECK_NANOS
				&& this.lastReadNanos - this.lastHeardNanos < 0;
	}

	private boolean isClaimDue(long outsiderNanos, int outsiderRank, long nowNanos) {
		boolean standby = this.rank != DutyNotice.NO_STANDBY;
		long silence = (standby) ? SILENCE_NANOS : outsiderNanos;
		if (standby && this.end != null && this.end.released()) {
			silence = 0;
		}
		long order = (standby) ? this.rank : outsiderRank;
		return nowNanos - this.lastHeardNanos >= silence + order * RANK_STEP_NANOS;
	}

	/**
	 * Records that the store has carried out the append.
	 * @param era the era that its answer states
	 * @param offset offset of the record
	 * @param nowNanos the current elapsed time in ns
	 */
	public void onAppended(long era, long offset, long nowNanos) {
		this.callOpen = false;
		Pending done = this.pending;
		if (done == null) {
			this.readDue = true;
			return;
		}
		// Earlier sendings with the same condition were not carried out, else this one
		// would not have been.
		succeed(done, era, offset, done.lastSentNanos(), nowNanos);
		if (2 * (nowNanos - done.lastSentNanos()) > this.windowNanos) {
			this.windowMs = Math.min(MAX_WINDOW_MS, 2 * this.windowMs);
		}
	}

	private void succeed(Pending done, long era, long offset, long windowStartNanos, long nowNanos) {
		this.pending = null;
		boolean newEra = era != done.before().era();
		if (newEra) {
			// The store has gone back: another daemon may have become the holder.
			this.ordersFromNanos = nowNanos + TimeUnit.MILLISECONDS.toNanos(MAX_WINDOW_MS);
		}
		else if (!this.holder) {
			this.ordersFromNanos = done.before().sinceNanos() + TimeUnit.MILLISECONDS.toNanos(done.before().waitMs());
		}
		if (this.holder == done.content().released()) {
			this.lastChange = (this.holder) ? "given up" : done.before().reasonToClaim();
		}
		long waitMs = (newEra) ? MAX_WINDOW_MS : done.content().waitMs();
		this.end = new LogEnd(era, offset, this.name, waitMs, done.content().released(), nowNanos);
		this.holder = !done.content().released();
		this.rank = DutyNotice.NO_STANDBY;
		this.lastHeardNanos = nowNanos;
		this.windowStartNanos = windowStartNanos;
		this.windowNanos = TimeUnit.MILLISECONDS.toNanos(done.windowMs());
	}

	/**
	 * Records that the log did not end where the append expected it.
	 */
	public void onConflict() {
		this.callOpen = false;
		this.readDue = true;
	}

	/**
	 * Records that a call got no answer. An append may have been carried out, or be
	 * carried out later, so it is repeated with the same condition.
	 */
	public void onNoAnswer() {
		this.callOpen = false;
	}

	/**
	 * Records the last record of the log.
	 * @param era the era that the answer states
	 * @param offset offset of the record; -1 if the log is empty
	 * @param content the record; empty if the log is empty, the record has another
	 * format, as one of a later release, or it was dropped at the end of its retention
	 * @param nowNanos the current elapsed time in ns
	 */
	public void onLastRecord(long era, long offset, Optional<DutyRecord> content, long nowNanos) {
		this.callOpen = false;
		this.readDue = false;
		this.lastReadNanos = nowNanos;
		Pending open = this.pending;
		this.pending = null;
		boolean own = open != null && content.equals(Optional.of(open.content()))
				&& offset == open.before().offset() + 1 && era == open.before().era();
		if (own) {
			succeed(open, era, offset, open.firstSentNanos(), nowNanos);
			return;
		}
		if (!this.holder && content.isEmpty() && this.end != null && this.end.isAt(era, offset)) {
			// The record that is known has reached the end of its retention.
			return;
		}
		boolean known = content.isPresent() && content.get().era() == era;
		LogEnd read = new LogEnd(era, offset, content.map(DutyRecord::writer).orElse(""),
				(known) ? content.get().waitMs() : MAX_WINDOW_MS, content.isPresent() && content.get().released(),
				nowNanos);
		boolean newWriter = this.end == null || !read.writer().equals(this.end.writer());
		boolean live = newWriter && !read.writer().equals(this.name) && !read.released() && this.end != null;
		if (this.holder || live) {
			// Another daemon has just claimed the duty.
			this.lastHeardNanos = nowNanos;
		}
		if (this.holder) {
			this.lastChange = "record of " + read.writer();
		}
		this.holder = false;
		if (this.end == null || !this.end.isSameRecord(read)) {
			this.end = read;
		}
	}

	/**
	 * Records what the holder, or another daemon, tells of the holder.
	 * @param notice the notice
	 * @param nowNanos the current elapsed time in ns
	 */
	public void onNotice(DutyNotice notice, long nowNanos) {
		if (notice.holder().equals(this.name)) {
			return;
		}
		int order = (this.end == null) ? 1 : this.end.compareTo(notice);
		if (order < 0) {
			return;
		}
		if (order > 0) {
			this.end = new LogEnd(notice.era(), notice.offset(), notice.holder(), notice.waitMs(), notice.released(),
					nowNanos);
			if (this.holder) {
				this.lastChange = "notice of " + notice.holder();
			}
			this.holder = false;
			this.pending = null;
			this.readDue = false;
		}
		else if (!notice.holder().equals(this.end.writer())) {
			return;
		}
		boolean direct = notice.ageMs() == 0;
		if (direct) {
			this.rank = notice.rank();
		}
		else if (order > 0 && !notice.released()) {
			this.rank = DutyNotice.NO_STANDBY;
		}
		long statedAt = nowNanos - TimeUnit.MILLISECONDS.toNanos(notice.ageMs());
		if (statedAt - this.lastHeardNanos > 0) {
			this.lastHeardNanos = statedAt;
		}
	}

	/**
	 * Returns what this daemon passes on to all others about the holder. A holder that
	 * may not hold the duty states since when, so that the others do not wait for it.
	 * @param nowNanos the current elapsed time in ns
	 * @return the notice with an age of at least 1 ms and without a rank; empty if no
	 * holder is known
	 */
	public Optional<DutyNotice> notice(long nowNanos) {
		long age = (this.holder && this.active) ? 1
				: Math.max(1, TimeUnit.NANOSECONDS.toMillis(nowNanos - this.lastHeardNanos));
		return stated(age, DutyNotice.NO_STANDBY);
	}

	/**
	 * Returns what the writer of the last record tells a standby.
	 * @param standbyRank rank of the standby, or {@link DutyNotice#NO_STANDBY} to one
	 * that is none any more
	 * @return the notice; empty if this daemon is not the writer of the last record
	 */
	public Optional<DutyNotice> noticeTo(int standbyRank) {
		return stated(0, standbyRank).filter((notice) -> notice.holder().equals(this.name));
	}

	private Optional<DutyNotice> stated(long ageMs, int standbyRank) {
		if (this.end == null || this.end.offset() < 0 || this.end.writer().isEmpty()) {
			return Optional.empty();
		}
		return Optional.of(new DutyNotice(this.end.writer(), this.end.era(), this.end.offset(), this.end.waitMs(),
				this.end.released(), ageMs, standbyRank));
	}

	/**
	 * Tells whether this daemon wrote the last record that it knows and has not given the
	 * duty up.
	 * @return whether it sends notices to standbys
	 */
	public boolean isHolder() {
		return this.holder;
	}

	/**
	 * Tells whether this daemon needs only an append to give orders.
	 * @param nowNanos the current elapsed time in ns
	 * @return whether it is the holder and the windows of all before have ended
	 */
	boolean hasWaited(long nowNanos) {
		return this.holder && nowNanos - this.ordersFromNanos >= 0;
	}

	/**
	 * Tells whether the holder sends notices to this daemon.
	 * @return whether this daemon claims first if they stop
	 */
	public boolean isStandby() {
		return this.rank != DutyNotice.NO_STANDBY;
	}

	/**
	 * Returns why this daemon became the holder last, or ceased to be it.
	 * @return the reason, for the log
	 */
	public String lastChange() {
		return this.lastChange;
	}

	/**
	 * Returns the silence of the holder after which daemons that are no standbys claim:
	 * in four rounds of messages within the data centre they hear of a live holder.
	 * @param localPeers number of other daemons in the data centre
	 * @return the time in ns
	 */
	public static long outsiderSilenceNanos(int localPeers) {
		return TimeUnit.MILLISECONDS
			.toNanos(Math.max(OUTSIDER_SILENCE_MS, 4 * PeerSchedule.localIntervalMs(localPeers)));
	}

	/**
	 * Tells whether orders may be given.
	 * @param nowNanos the current elapsed time in ns
	 * @return whether this daemon is the holder, its window is open, those of all before
	 * have ended, it is not giving the duty up, and no engine has rejected its token
	 */
	public boolean mayOrder(long nowNanos) {
		boolean releasing = this.pending != null && this.pending.content().released();
		return this.holder && this.active && !releasing && nowNanos - this.ordersFromNanos >= 0
				&& nowNanos - this.windowStartNanos < this.windowNanos && fencingToken() > this.highestRejectedToken;
	}

	/**
	 * Returns the fencing token of the orders of this daemon.
	 * @return the token; 0 if no record is known
	 */
	public long fencingToken() {
		return (this.end == null) ? 0 : this.end.era() * TOKENS_PER_ERA + FIRST_TOKEN + this.end.offset();
	}

	/**
	 * Records that an engine rejected an order because it has seen a higher token.
	 * @param token the token of the rejected order
	 */
	public void recordRejectedToken(long token) {
		this.highestRejectedToken = Math.max(this.highestRejectedToken, token);
	}

	/**
	 * The last record of the log as this daemon knows it.
	 *
	 * @param era era of the store
	 * @param offset offset of the record; -1 if the log is empty
	 * @param writer its writer; empty if unknown
	 * @param waitMs time that a successor waits, in ms
	 * @param released whether the writer has given the duty up
	 * @param sinceNanos when this daemon first knew of it, in elapsed ns
	 */
	private record LogEnd(long era, long offset, String writer, long waitMs, boolean released, long sinceNanos) {

		boolean isAt(long otherEra, long otherOffset) {
			return this.era == otherEra && this.offset == otherOffset;
		}

		boolean isSameRecord(LogEnd other) {
			return this.era == other.era && this.offset == other.offset && this.writer.equals(other.writer);
		}

		// Returns why a claim behind this record was due.
		String reasonToClaim() {
			if (this.writer.isEmpty()) {
				return (this.offset < 0) ? "no record" : "unknown record";
			}
			return ((this.released) ? "given up by " : "silence of ") + this.writer;
		}

		// Positive if the notice tells of a later record.
		int compareTo(DutyNotice notice) {
			return (notice.era() != this.era) ? Long.compare(notice.era(), this.era)
					: Long.compare(notice.offset(), this.offset);
		}

	}

	/**
	 * An append whose outcome is not known.
	 *
	 * @param before the end of the log that it expects
	 * @param content the record
	 * @param windowMs its window, in ms
	 * @param firstSentNanos when it was sent first, in elapsed ns
	 * @param lastSentNanos when it was sent last, in elapsed ns
	 */
	private record Pending(LogEnd before, DutyRecord content, long windowMs, long firstSentNanos, long lastSentNanos) {

		Pending sentAgain(long nowNanos) {
			return new Pending(this.before, this.content, this.windowMs, this.firstSentNanos, nowNanos);
		}

	}

}
