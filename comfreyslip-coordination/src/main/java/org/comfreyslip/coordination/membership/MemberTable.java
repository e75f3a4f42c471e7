package org.comfreyslip.coordination.membership;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeMap;
import java.util.function.Predicate;

import com.dynatrace.hash4j.hashing.Hashing;
import org.comfreyslip.coordination.Invariant;
import org.comfreyslip.coordination.membership.MemberReport.Phase;

/**
 * One daemon's view of all daemons, itself included. How long a member has been silent is
 * measured on this daemon's clock from the arrival of the member's last new heartbeat, so
 * that clocks of different hosts are never compared. Not thread-safe.
 */
public final class MemberTable {

	/**
	 * Time for which a removed member is remembered. A peer that joined late removes the
	 * member later and may still report it; the report is ignored unless its heartbeat is
	 * newer.
	 */
	private static final long REMOVED_RETENTION_NANOS = 10 * MemberState.REMOVED_NANOS;

	/** Time after a change for which a report is sent in full without a request. */
	private static final long FULL_REPORT_NANOS = 5_000_000_000L;

	private final Map<String, MemberEntry> entries = new TreeMap<>();

	private final Map<Integer, MemberEntry> entriesByKey = new HashMap<>();

	private final Map<String, PeerProgress> progressByPeer = new HashMap<>();

	private final Map<String, NotificationEntry> notifications = new HashMap<>();

	private final Map<String, MemberEntry> removedEntries = new HashMap<>();

	private MemberReport self;

	private long changeCounter;

	private final Set<Integer> unknownKeys = new HashSet<>();

	private long lastTickNanos;

	/**
	 * Creates a table that knows only its own daemon.
	 * @param self this daemon's run
	 * @param nowNanos monotonic time in nanoseconds
	 */
	public MemberTable(Member self, long nowNanos) {
		this.lastTickNanos = nowNanos;
		updateSelf(new MemberReport(self, 1, Phase.RUNNING, 0), nowNanos);
	}

	/**
	 * Returns the key under which heartbeats of a report are sent. A receiver that knows
	 * the key has the same report, except for the heartbeat.
	 * @param report the report, of any heartbeat
	 * @return a 32-bit hash of name, incarnation, phase and configuration version
	 */
	public static int reportKey(MemberReport report) {
		return (int) Hashing.komihash5_0()
			.hashStream()
			.putString(report.member().name())
			.putLong(report.member().incarnation())
			.putInt(report.phase().ordinal())
			.putLong(report.configVersion())
			.getAsLong();
	}

	/**
	 * Increments this daemon's heartbeat and removes members that have been silent for
	 * {@link MemberState#REMOVED_NANOS}; to be called once a second. The time since the
	 * last call does not count as silence if it reaches
	 * {@link MemberState#SUSPECT_NANOS}: this process was then paused, and no heartbeat
	 * could arrive.
	 * @param nowNanos monotonic time in nanoseconds
	 * @param configVersion number of the configuration version in effect in this daemon
	 */
	public void tick(long nowNanos, long configVersion) {
		long elapsedNanos = nowNanos - this.lastTickNanos;
		if (elapsedNanos >= MemberState.SUSPECT_NANOS) {
			this.entries.values().forEach((entry) -> entry.heartbeatAtNanos += elapsedNanos);
		}
		this.lastTickNanos = nowNanos;
		updateSelf(new MemberReport(this.self.member(), this.self.heartbeat() + 1, this.self.phase(), configVersion),
				nowNanos);
		removeSilent(nowNanos);
	}

	/**
	 * Announces that this daemon drains or has left.
	 * @param phase the phase, never an earlier one than before
	 * @param nowNanos monotonic time in nanoseconds
	 * @throws org.comfreyslip.coordination.CodedException with
	 * {@link org.comfreyslip.coordination.ErrorCode#INVARIANT_VIOLATED} if the phase is
	 * earlier than the current one
	 */
	public void announce(Phase phase, long nowNanos) {
		Invariant.check(phase.compareTo(this.self.phase()) >= 0,
				"the phase of this daemon went from " + this.self.phase() + " back to " + phase);
		updateSelf(new MemberReport(this.self.member(), this.self.heartbeat() + 1, phase, this.self.configVersion()),
				nowNanos);
	}

	/**
	 * Returns this daemon's own report.
	 * @return the report with the current heartbeat
	 */
	public MemberReport self() {
		return this.self;
	}

	/**
	 * Returns the state of a member.
	 * @param name the member's name
	 * @param nowNanos monotonic time in nanoseconds
	 * @return the state, {@link MemberState#REMOVED} if the member is not known
	 */
	public MemberState state(String name, long nowNanos) {
		MemberEntry entry = this.entries.get(name);
		return (entry != null) ? stateOf(entry, nowNanos) : MemberState.REMOVED;
	}

	/**
	 * Returns the newest report of a member.
	 * @param name the member's name
	 * @return the report, empty if the member is not known
	 */
	public Optional<MemberReport> report(String name) {
		return Optional.ofNullable(this.entries.get(name)).map((entry) -> entry.report);
	}

	/**
	 * Returns the members in certain states. This daemon is included if its own state is.
	 * @param stateFilter accepts the states to include
	 * @param nowNanos monotonic time in nanoseconds
	 * @return the members, ordered by name
	 */
	public List<Member> members(Predicate<MemberState> stateFilter, long nowNanos) {
		return this.entries.values()
			.stream()
			.filter((entry) -> stateFilter.test(stateOf(entry, nowNanos)))
			.map((entry) -> entry.report.member())
			.toList();
	}

	/**
	 * Records a notification about an endpoint, to be sent to all peers.
	 * @param notification the notification; it has no effect if its sequence is not
	 * higher than that of the last one about the endpoint
	 * @return whether the notification was recorded
	 */
	public boolean addNotification(EndpointNotification notification) {
		NotificationEntry known = this.notifications.get(notification.endpoint());
		if (known != null && known.notification().sequence() >= notification.sequence()) {
			return false;
		}
		this.changeCounter++;
		this.notifications.put(notification.endpoint(), new NotificationEntry(notification, this.changeCounter));
		return true;
	}

	/**
	 * Returns what changed since the last confirmed exchange with a peer, and the reports
	 * that the peer requested.
	 * @param peer the peer's name
	 * @param usage usage of client accounts on this daemon
	 * @return the difference to send to the peer
	 */
	public MembershipDelta deltaFor(String peer, List<AccountUsage> usage) {
		PeerProgress progress = this.progressByPeer.computeIfAbsent(peer, (name) -> new PeerProgress());
		progress.sentChange = this.changeCounter;
		List<MemberReport> reports = new ArrayList<>();
		List<MemberHeartbeat> heartbeats = new ArrayList<>();
		for (MemberEntry entry : this.entries.values()) {
			if (progress.requestedKeys.contains(entry.reportKey) || needsFullReport(entry, progress)) {
				reports.add(entry.report);
			}
			else if (entry.heartbeatChange > progress.confirmedChange && !entry.report.member().name().equals(peer)) {
				heartbeats.add(new MemberHeartbeat(entry.reportKey, entry.report.heartbeat()));
			}
		}
		MembershipDelta delta = new MembershipDelta(this.self.member().name(), List.copyOf(this.unknownKeys), reports,
				heartbeats, usage, notificationsAfter(progress.confirmedChange));
		this.unknownKeys.clear();
		return delta;
	}

	/**
	 * Records that the peer has received the last difference created for it.
	 * @param peer the peer's name
	 */
	public void onExchangeConfirmed(String peer) {
		PeerProgress progress = this.progressByPeer.get(peer);
		if (progress != null) {
			progress.confirmedChange = progress.sentChange;
			progress.requestedKeys.clear();
		}
	}

	/**
	 * Merges a difference received from a peer.
	 * @param delta the difference that the peer sent
	 * @param nowNanos monotonic time in nanoseconds
	 * @return the notifications about endpoints that were new to this daemon
	 */
	public List<EndpointNotification> merge(MembershipDelta delta, long nowNanos) {
		delta.reports().forEach((report) -> mergeReport(report, nowNanos));
		delta.heartbeats().forEach((heartbeat) -> mergeHeartbeat(heartbeat, nowNanos));
		if (!delta.requestedKeys().isEmpty()) {
			this.progressByPeer.computeIfAbsent(delta.sender(), (name) -> new PeerProgress()).requestedKeys
				.addAll(delta.requestedKeys());
		}
		return delta.notifications().stream().filter(this::addNotification).toList();
	}

	private void updateSelf(MemberReport report, long nowNanos) {
		this.self = report;
		putReport(report, nowNanos);
	}

	private void mergeReport(MemberReport report, long nowNanos) {
		if (report.member().name().equals(this.self.member().name())) {
			raiseIncarnation(report, nowNanos);
			return;
		}
		MemberEntry removedEntry = this.removedEntries.get(report.member().name());
		if (removedEntry != null && !report.isNewerThan(removedEntry.report)) {
			return;
		}
		MemberEntry known = this.entries.get(report.member().name());
		if (known == null || report.isNewerThan(known.report)) {
			if (known != null && !report.isSameRun(known.report)) {
				this.progressByPeer.remove(report.member().name());
			}
			putReport(report, nowNanos);
		}
	}

	// An earlier run of this daemon may have had a higher incarnation, if the host's
	// clock
	// was set back since. Peers would ignore this run until they remove the earlier one.
	private void raiseIncarnation(MemberReport earlier, long nowNanos) {
		if (!earlier.isNewerThan(this.self)) {
			return;
		}
		Member member = this.self.member();
		Member renewed = new Member(member.name(), earlier.member().incarnation() + 1, member.address(),
				member.dataCentre(), member.region());
		updateSelf(new MemberReport(renewed, 1, this.self.phase(), this.self.configVersion()), nowNanos);
	}

	private void mergeHeartbeat(MemberHeartbeat heartbeat, long nowNanos) {
		MemberEntry known = this.entriesByKey.get(heartbeat.key());
		if (known == null) {
			this.unknownKeys.add(heartbeat.key());
			return;
		}
		if (known.reportKey != heartbeat.key()) {
			return;
		}
		MemberReport report = known.report;
		if (heartbeat.heartbeat() > report.heartbeat() && !report.member().name().equals(this.self.member().name())) {
			putReport(new MemberReport(report.member(), heartbeat.heartbeat(), report.phase(), report.configVersion()),
					nowNanos);
		}
	}

	// Most peers have received an older report through other daemons already, so only its
	// heartbeat is sent. A peer that lacks the report requests it.
	private boolean needsFullReport(MemberEntry entry, PeerProgress progress) {
		return entry.reportChange > progress.confirmedChange
				&& this.lastTickNanos - entry.reportChangedAtNanos < FULL_REPORT_NANOS;
	}

	private void putReport(MemberReport report, long nowNanos) {
		MemberEntry known = this.entries.get(report.member().name());
		this.changeCounter++;
		if (known == null || !known.report.isSameRun(report)) {
			MemberEntry entry = new MemberEntry(report, this.changeCounter, nowNanos);
			if (known != null) {
				removeKeys(known);
			}
			this.entries.put(report.member().name(), entry);
			this.entriesByKey.put(entry.reportKey, entry);
			return;
		}
		update(known, report, nowNanos);
	}

	// A peer may still send heartbeats under the key before the last change. That key is
	// kept, so that a report older than the known one is not requested.
	private void update(MemberEntry known, MemberReport report, long nowNanos) {
		int reportKey = reportKey(report);
		if (reportKey != known.reportKey) {
			this.entriesByKey.remove(known.previousReportKey, known);
			known.previousReportKey = known.reportKey;
			known.reportKey = reportKey;
			known.reportChange = this.changeCounter;
			known.reportChangedAtNanos = nowNanos;
			this.entriesByKey.put(reportKey, known);
		}
		known.report = report;
		known.heartbeatChange = this.changeCounter;
		known.heartbeatAtNanos = nowNanos;
	}

	private void removeKeys(MemberEntry entry) {
		this.entriesByKey.remove(entry.reportKey, entry);
		this.entriesByKey.remove(entry.previousReportKey, entry);
	}

	private void removeSilent(long nowNanos) {
		List<MemberEntry> silent = this.entries.values()
			.stream()
			.filter((entry) -> stateOf(entry, nowNanos) == MemberState.REMOVED)
			.toList();
		for (MemberEntry entry : silent) {
			Member member = entry.report.member();
			this.entries.remove(member.name());
			removeKeys(entry);
			this.progressByPeer.remove(member.name());
			this.removedEntries.put(member.name(), entry);
		}
		this.removedEntries.values().removeIf((entry) -> nowNanos - entry.heartbeatAtNanos >= REMOVED_RETENTION_NANOS);
	}

	private MemberState stateOf(MemberEntry entry, long nowNanos) {
		return MemberState.of(entry.report.phase(), nowNanos - entry.heartbeatAtNanos);
	}

	private List<EndpointNotification> notificationsAfter(long confirmedChange) {
		return this.notifications.values()
			.stream()
			.filter((entry) -> entry.change() > confirmedChange)
			.map(NotificationEntry::notification)
			.toList();
	}

	/**
	 * What was sent to a peer, as values of this table's change counter, and the reports
	 * that the peer requested.
	 */
	private static final class PeerProgress {

		private long sentChange;

		private long confirmedChange;

		private final Set<Integer> requestedKeys = new HashSet<>();

	}

	/**
	 * Notification about an endpoint.
	 *
	 * @param notification the notification
	 * @param change the table's change counter when the notification was recorded
	 */
	private record NotificationEntry(EndpointNotification notification, long change) {
	}

	/**
	 * Newest report of a member, with the change counter and the time of its last
	 * changes.
	 */
	private static final class MemberEntry {

		private int reportKey;

		private int previousReportKey;

		private MemberReport report;

		private long reportChange;

		private long heartbeatChange;

		private long reportChangedAtNanos;

		private long heartbeatAtNanos;

		MemberEntry(MemberReport report, long change, long nowNanos) {
			this.reportKey = reportKey(report);
			this.previousReportKey = this.reportKey;
			this.reportChangedAtNanos = nowNanos;
			this.report = report;
			this.reportChange = change;
			this.heartbeatChange = change;
			this.heartbeatAtNanos = nowNanos;
		}

	}

}
