package org.comfreyslip.entry.duty;

import java.util.ArrayList;
import java.util.EnumMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import java.util.function.LongSupplier;

import org.comfreyslip.coordination.ranking.RendezvousRanking;
import org.comfreyslip.entry.duty.DutyLog.AppendOutcome;
import org.comfreyslip.entry.layers.OrderPermission;

/**
 * Carries out what {@link PlacementDuty} decides: the calls to the store, the notices to
 * the standbys, and the watch for daemons of earlier releases. Runs on the event loop.
 */
public final class DutyRunner implements OrderPermission {

	/**
	 * Longest time between two decisions of a daemon that sends or expects notices, in
	 * ms: with it, notices that are not lost are heard before one counts as missing.
	 */
	public static final long ACTIVE_INTERVAL_MS = 20;

	/** Time between two decisions of the other daemons, in ms. */
	public static final long IDLE_INTERVAL_MS = 40;

	/**
	 * Time after the last run from which on datagrams are read before the next decision,
	 * in ns. Notices may have arrived while the process was busy.
	 */
	private static final long LATE_NANOS = TimeUnit.MILLISECONDS.toNanos(IDLE_INTERVAL_MS + ACTIVE_INTERVAL_MS);

	/** Time in which the datagrams that have arrived are read, in ns. */
	private static final long READING_NANOS = TimeUnit.MILLISECONDS.toNanos(10);

	/** Time after the last notices from which on the next ones are sent, in ns. */
	private static final long NOTICE_NANOS = TimeUnit.MILLISECONDS
		.toNanos(PlacementDuty.NOTICE_INTERVAL_MS - ACTIVE_INTERVAL_MS / 2);

	/** Time between two looks at the list of daemons, in ns. */
	private static final long REFRESH_NANOS = TimeUnit.MILLISECONDS.toNanos(500);

	/**
	 * Time after a call without an answer in which there is no further one, in ns. With
	 * the time to the next decision it is less than the 100 ms after which
	 * {@link PlacementDuty} takes the process for suspended.
	 */
	private static final long BACKOFF_NANOS = TimeUnit.MILLISECONDS.toNanos(50);

	/** Time between calls after several without an answer, in ns. */
	private static final long LONG_BACKOFF_NANOS = TimeUnit.MILLISECONDS.toNanos(500);

	/** Number of calls without an answer after which the longer time is used. */
	private static final int SHORT_BACKOFFS = 5;

	/**
	 * Time without an answer after which a holder gives the duty up, in ns: longer than a
	 * single call that fails. The store may turn away only this daemon, which does not
	 * read the store itself if others read for it.
	 */
	private static final long STORE_LOSS_NANOS = TimeUnit.SECONDS.toNanos(1);

	/** Number of times that the standbys are told that the duty was given up. */
	private static final int RELEASE_NOTICES = 3;

	private final String daemon;

	private final PlacementDuty duty;

	private final DutyLog log;

	private final DutyPeers peers;

	private final LongSupplier elapsedNanos;

	private final Runnable onChange;

	private final ReleaseWatch watch = new ReleaseWatch();

	private final DutyStandbys standbys = new DutyStandbys();

	private final DutyExtension extension;

	/** Why this daemon may not hold the duty; empty if it may. */
	private String obstacle = "starting";

	/** Names of the other live daemons. */
	private List<String> others = List.of();

	/** Names of those that may be standbys. */
	private List<String> candidates = List.of();

	/**
	 * Silence of the holder after which this daemon claims if it is no standby, in ns.
	 */
	private long outsiderSilenceNanos;

	/** Rank of this daemon among all that may claim. */
	private int ownRank;

	private boolean wasHolder;

	private boolean refreshDue = true;

	private long lastRefreshNanos;

	private long lastTickNanos;

	/** Elapsed time in ns before which no call is decided on. */
	private long decidesFromNanos;

	private long lastNoticeNanos;

	private int releaseNoticesLeft;

	private int unansweredCalls;

	private long lastFailureNanos;

	/** When the first of the calls without an answer was noticed; valid only then. */
	private long failingSinceNanos;

	private final Map<CallOutcome, Long> calls = new EnumMap<>(CallOutcome.class);

	private String reason = "no record was read";

	/**
	 * Creates the runner of a daemon that has just started.
	 * @param daemon the daemon's name
	 * @param startMs start of the daemon, in Unix ms, which tells its incarnations apart
	 * @param log the log of the placement duty
	 * @param peers the other daemons
	 * @param elapsedNanos clock of the elapsed time, in ns
	 * @param onChange called when this daemon has become the holder or ceased to be it,
	 * and when a window for orders has opened
	 */
	public DutyRunner(String daemon, long startMs, DutyLog log, DutyPeers peers, LongSupplier elapsedNanos,
			Runnable onChange) {
		this.daemon = daemon;
		this.log = log;
		this.peers = peers;
		this.elapsedNanos = elapsedNanos;
		this.onChange = onChange;
		long now = elapsedNanos.getAsLong();
		this.duty = new PlacementDuty(daemon + "#" + startMs, now);
		this.extension = new DutyExtension(this.duty, this.watch, () -> this.refreshDue = true);
		this.lastTickNanos = now;
		this.decidesFromNanos = now;
		this.lastNoticeNanos = now;
		this.lastRefreshNanos = now;
		// Else the first message would tell of a daemon of an earlier release, and the
		// holder
		// would give the duty up.
		this.watch.update(List.of(), now);
	}

	/**
	 * Returns the block for the messages between daemons.
	 * @return the block
	 */
	public DutyExtension extension() {
		return this.extension;
	}

	/**
	 * Decides and starts what is due.
	 * @param ownObstacle why this daemon may not hold the duty; empty if it reaches the
	 * store and the engines and is not stopping
	 * @param ordersWanted whether there are orders to give
	 */
	public void run(String ownObstacle, boolean ordersWanted) {
		long now = this.elapsedNanos.getAsLong();
		if (now - this.lastTickNanos > LATE_NANOS) {
			this.decidesFromNanos = now + READING_NANOS;
		}
		this.lastTickNanos = now;
		if (this.refreshDue || now - this.lastRefreshNanos >= REFRESH_NANOS) {
			refresh(now);
		}
		this.obstacle = findObstacle(ownObstacle, now);
		this.duty.setMayHold(this.obstacle.isEmpty(), now);
		if (now - this.decidesFromNanos >= 0 && !isBackingOff(now)) {
			this.duty.takeCall(this.obstacle.isEmpty(), ordersWanted, this.outsiderSilenceNanos, this.ownRank, now)
				.ifPresent((call) -> carryOut(call, ordersWanted));
		}
		if (now - this.lastNoticeNanos >= NOTICE_NANOS) {
			sendNotices(now);
		}
		notifyOfChange();
	}

	private String findObstacle(String ownObstacle, long nowNanos) {
		if (!ownObstacle.isEmpty()) {
			return ownObstacle;
		}
		if (!this.watch.mayUseRecords(nowNanos)) {
			return "a daemon of an earlier release may take part";
		}
		if (this.duty.isHolder() && this.unansweredCalls > 0 && nowNanos - this.failingSinceNanos >= STORE_LOSS_NANOS) {
			return "the store does not answer";
		}
		return (this.peers.isComplete(nowNanos)) ? "" : "no other daemon was heard yet";
	}

	private void refresh(long nowNanos) {
		this.refreshDue = false;
		this.lastRefreshNanos = nowNanos;
		Map<String, Boolean> live = this.peers.live(nowNanos);
		this.watch.update(live.keySet(), nowNanos);
		this.outsiderSilenceNanos = PlacementDuty.outsiderSilenceNanos(this.peers.localCount());
		this.others = List.copyOf(live.keySet());
		this.candidates = live.entrySet().stream().filter(Map.Entry::getValue).map(Map.Entry::getKey).toList();
		List<String> ranked = new ArrayList<>(this.candidates);
		ranked.add(this.daemon);
		this.ownRank = RendezvousRanking.rank("placement duty", ranked).indexOf(this.daemon);
	}

	private boolean isBackingOff(long nowNanos) {
		long backoff = (this.unansweredCalls > SHORT_BACKOFFS) ? LONG_BACKOFF_NANOS : BACKOFF_NANOS;
		return this.unansweredCalls > 0 && nowNanos - this.lastFailureNanos < backoff;
	}

	private void carryOut(DutyCall call, boolean ordersWanted) {
		if (call instanceof DutyCall.Append append) {
			this.log.append(append.at(), append.content().encode(),
					(outcome) -> onAppendOutcome(append.content(), outcome, ordersWanted));
		}
		else {
			this.log.readLast((last) -> {
				long now = this.elapsedNanos.getAsLong();
				last.ifPresentOrElse((one) -> {
					onAnswer(CallOutcome.READ);
					this.duty.onLastRecord(one.era(), one.offset(), DutyRecord.decode(one.content()), now);
				}, () -> onNoAnswer(now));
				notifyOfChange();
			});
		}
	}

	private void onAppendOutcome(DutyRecord content, AppendOutcome outcome, boolean ordersWanted) {
		long now = this.elapsedNanos.getAsLong();
		if (outcome instanceof AppendOutcome.Appended appended) {
			onAnswer(CallOutcome.APPENDED);
			this.duty.onAppended(appended.era(), appended.offset(), now);
			this.releaseNoticesLeft = (content.released()) ? RELEASE_NOTICES : 0;
			sendNotices(now);
		}
		else if (outcome instanceof AppendOutcome.Conflict) {
			onAnswer(CallOutcome.CONFLICT);
			this.duty.onConflict();
		}
		else {
			onNoAnswer(now);
		}
		boolean changed = notifyOfChange();
		if (!changed && ordersWanted && mayOrder(now)) {
			this.onChange.run();
		}
	}

	private void onAnswer(CallOutcome outcome) {
		this.unansweredCalls = 0;
		this.calls.merge(outcome, 1L, Long::sum);
	}

	private void onNoAnswer(long nowNanos) {
		this.calls.merge(CallOutcome.UNANSWERED, 1L, Long::sum);
		if (this.unansweredCalls == 0) {
			this.failingSinceNanos = nowNanos;
		}
		this.unansweredCalls++;
		this.lastFailureNanos = nowNanos;
		this.duty.onNoAnswer();
	}

	// A holder that does not reach the store or the engines is silent, so that a standby
	// claims the duty although no record gives it up.
	private void sendNotices(long nowNanos) {
		boolean released = this.releaseNoticesLeft > 0 && !this.duty.isHolder();
		if (!released && !(this.duty.isHolder() && this.obstacle.isEmpty())) {
			return;
		}
		this.releaseNoticesLeft -= (released) ? 1 : 0;
		this.lastNoticeNanos = nowNanos;
		this.standbys.nextReceivers(this.candidates)
			.forEach((receiver, rank) -> this.duty.noticeTo(rank)
				.ifPresent((notice) -> this.peers.send(notice.encode(), receiver)));
	}

	/**
	 * Handles a notice of the holder.
	 * @param notice the notice
	 */
	public void onNotice(DutyNotice notice) {
		this.duty.onNotice(notice, this.elapsedNanos.getAsLong());
		notifyOfChange();
	}

	private boolean notifyOfChange() {
		boolean holder = this.duty.isHolder();
		if (holder == this.wasHolder) {
			return false;
		}
		this.wasHolder = holder;
		this.reason = this.duty.lastChange() + ((holder || this.obstacle.isEmpty()) ? "" : ": " + this.obstacle);
		if (holder) {
			notifyOthers();
		}
		this.onChange.run();
		return true;
	}

	// Others may be about to claim as well. With many daemons, the periodic messages
	// reach them seconds later.
	private void notifyOthers() {
		this.duty.noticeTo(DutyNotice.NO_STANDBY).map(DutyNotice::encode).ifPresent((notice) -> {
			List<String> receivers = new ArrayList<>(this.others);
			receivers.removeAll(this.standbys.current());
			receivers.forEach((receiver) -> this.peers.send(notice, receiver));
		});
	}

	/**
	 * Returns the time to the next decision.
	 * @return the longest time, in ms
	 */
	public long intervalMs() {
		return (this.duty.isHolder() || this.duty.isStandby()) ? ACTIVE_INTERVAL_MS : IDLE_INTERVAL_MS;
	}

	/**
	 * Tells whether the group of the store decides who gives orders, since a daemon of an
	 * earlier release is alive.
	 * @return whether it does
	 */
	public boolean isGroupNeeded() {
		return !this.watch.knowsNoEarlierRelease();
	}

	/**
	 * Tells whether this daemon needs only an append to give orders.
	 * @param nowNanos the current elapsed time in ns
	 * @return whether it is the holder and has waited for the windows of all before
	 */
	boolean isReady(long nowNanos) {
		return this.obstacle.isEmpty() && this.duty.hasWaited(nowNanos);
	}

	/**
	 * Returns the metrics of the duty.
	 * @return text in the Prometheus format, with every outcome
	 */
	public String metricsText() {
		StringBuilder text = new StringBuilder();
		for (CallOutcome outcome : CallOutcome.values()) {
			text.append("comfreyslip_duty_calls_total{outcome=\"")
				.append(outcome.name().toLowerCase(Locale.ROOT))
				.append("\"} ")
				.append(this.calls.getOrDefault(outcome, 0L))
				.append('\n');
		}
		return text.append("comfreyslip_duty_held ").append((this.duty.isHolder()) ? 1 : 0).append('\n').toString();
	}

	@Override
	public boolean holdsDuty(long nowNanos) {
		return this.obstacle.isEmpty() && this.duty.isHolder();
	}

	@Override
	public boolean mayOrder(long nowNanos) {
		return this.obstacle.isEmpty() && this.duty.mayOrder(nowNanos);
	}

	@Override
	public long fencingToken() {
		return this.duty.fencingToken();
	}

	@Override
	public void recordRejectedToken(long token) {
		this.duty.recordRejectedToken(token);
	}

	@Override
	public String reason() {
		return (this.duty.isHolder() && !this.obstacle.isEmpty()) ? this.obstacle : this.reason;
	}

	/** How a call to the store ended, for the metrics. */
	private enum CallOutcome {

		/** The record was appended. */
		APPENDED,

		/** The log did not end where it was expected. */
		CONFLICT,

		/** The last record was read. */
		READ,

		/** There was no answer, or one that cannot be decoded. */
		UNANSWERED

	}

}
