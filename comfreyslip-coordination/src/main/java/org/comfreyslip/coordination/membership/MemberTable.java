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
 * One daemon's view of all daemons. A member's silence is measured on this daemon's clock
 * from the time at which a new heartbeat arrived, so that clocks are never compared. Not
 * thread-safe.
 */
public final class MemberTable {

	/**
	 * A peer that joined late may still report a member after its removal here. The
	 * report is ignored for this time unless it has a newer heartbeat.
	 */
	private static final long REMEMBER_REMOVED_NANOS = 10 * MemberState.REMOVED_NANOS;

	/** Time in which a changed report is sent in full without being asked for. */
	private static final long NEWS_NANOS = 5_000_000_000L;

	private final Map<String, Entry> entries = new TreeMap<>();

	private final Map<Integer, Entry> byKey = new HashMap<>();

	private final Map<String, PeerRecord> peers = new HashMap<>();

	private final Map<String, NoticeEntry> notices = new HashMap<>();

	private final Map<String, Entry> removed = new HashMap<>();

	private MemberReport self;

	private long change;

	private final Set<Integer> wanted = new HashSet<>();

	private long lastTick;

	/**
	 * Creates a table that knows only its own daemon.
	 * @param self this daemon's run
	 * @param now the current time
	 */
	public MemberTable(Member self, long now) {
		this.lastTick = now;
		publish(new MemberReport(self, 1, Phase.RUNNING, 0), now);
	}

	/**
	 * Returns the short key of a report, for heartbeats. A receiver that knows the key
	 * has the same report but for the heartbeat.
	 * @param report the report
	 * @return a 32-bit hash of name, incarnation, phase and configuration version
	 */
	public static int key(MemberReport report) {
		return (int) Hashing.komihash5_0()
			.hashStream()
			.putString(report.member().name())
			.putLong(report.member().incarnation())
			.putInt(report.phase().ordinal())
			.putLong(report.configVersion())
			.getAsLong();
	}

	/**
	 * Increments this daemon's heartbeat; called once a second. After a pause of this
	 * process all members get their time again, because their heartbeats could not arrive
	 * meanwhile. Members that are silent for too long are removed.
	 * @param now the current time
	 * @param configVersion number of the version in effect here
	 */
	public void tick(long now, long configVersion) {
		long elapsed = now - this.lastTick;
		if (elapsed >= MemberState.SUSPECT_NANOS) {
			this.entries.values().forEach((entry) -> entry.heardAt += elapsed);
		}
		this.lastTick = now;
		publish(new MemberReport(this.self.member(), this.self.heartbeat() + 1, this.self.phase(), configVersion), now);
		removeSilent(now);
	}

	/**
	 * Announces that this daemon drains or has left.
	 * @param phase the phase, never an earlier one than before
	 * @param now the current time
	 */
	public void announce(Phase phase, long now) {
		Invariant.check(phase.compareTo(this.self.phase()) >= 0,
				"the phase of this daemon went from " + this.self.phase() + " back to " + phase);
		publish(new MemberReport(this.self.member(), this.self.heartbeat() + 1, phase, this.self.configVersion()), now);
	}

	/**
	 * Returns this daemon's own report.
	 * @return the report
	 */
	public MemberReport self() {
		return this.self;
	}

	/**
	 * Returns the state of a member.
	 * @param name the member's name
	 * @param now the current time
	 * @return the state, {@link MemberState#REMOVED} if the member is not known
	 */
	public MemberState state(String name, long now) {
		Entry entry = this.entries.get(name);
		return (entry != null) ? stateOf(entry, now) : MemberState.REMOVED;
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
	 * Returns the members in certain states, including this daemon.
	 * @param states which states to include
	 * @param now the current time
	 * @return the members, ordered by name
	 */
	public List<Member> members(Predicate<MemberState> states, long now) {
		return this.entries.values()
			.stream()
			.filter((entry) -> states.test(stateOf(entry, now)))
			.map((entry) -> entry.report.member())
			.toList();
	}

	/**
	 * Records that a peer is to be told about an endpoint.
	 * @param notice the news; one with a lower sequence than known has no effect
	 * @return whether it was new
	 */
	public boolean addNotice(EndpointNotice notice) {
		NoticeEntry known = this.notices.get(notice.endpoint());
		if (known != null && known.notice().sequence() >= notice.sequence()) {
			return false;
		}
		this.change++;
		this.notices.put(notice.endpoint(), new NoticeEntry(notice, this.change));
		return true;
	}

	/**
	 * Returns what changed since the last complete exchange with a peer.
	 * @param peer the peer's name
	 * @param usage use of client accounts on this daemon
	 * @return the difference
	 */
	public MembershipDelta deltaFor(String peer, List<AccountUsage> usage) {
		PeerRecord record = this.peers.computeIfAbsent(peer, (name) -> new PeerRecord());
		record.sent = this.change;
		List<MemberReport> reports = new ArrayList<>();
		List<MemberBeat> beats = new ArrayList<>();
		for (Entry entry : this.entries.values()) {
			if (record.requested.contains(entry.key) || isNews(entry, record)) {
				reports.add(entry.report);
			}
			else if (entry.beatChange > record.confirmed && !entry.report.member().name().equals(peer)) {
				beats.add(new MemberBeat(entry.key, entry.report.heartbeat()));
			}
		}
		MembershipDelta delta = new MembershipDelta(this.self.member().name(), List.copyOf(this.wanted), reports, beats,
				usage, noticesAfter(record.confirmed));
		this.wanted.clear();
		return delta;
	}

	/**
	 * The peer has answered, so that it has the last difference sent.
	 * @param peer the peer's name
	 */
	public void onConfirmed(String peer) {
		PeerRecord record = this.peers.get(peer);
		if (record != null) {
			record.confirmed = record.sent;
			record.requested.clear();
		}
	}

	/**
	 * Takes a peer's difference.
	 * @param delta the difference
	 * @param now the current time
	 * @return the news about endpoints that this daemon did not have
	 */
	public List<EndpointNotice> merge(MembershipDelta delta, long now) {
		delta.reports().forEach((report) -> mergeReport(report, now));
		delta.beats().forEach((beat) -> mergeBeat(beat, now));
		if (!delta.wanted().isEmpty()) {
			this.peers.computeIfAbsent(delta.from(), (name) -> new PeerRecord()).requested.addAll(delta.wanted());
		}
		return delta.notices().stream().filter(this::addNotice).toList();
	}

	private void publish(MemberReport report, long now) {
		this.self = report;
		put(report, now);
	}

	private void mergeReport(MemberReport report, long now) {
		if (report.member().name().equals(this.self.member().name())) {
			outlive(report, now);
			return;
		}
		Entry buried = this.removed.get(report.member().name());
		if (buried != null && !report.isNewerThan(buried.report)) {
			return;
		}
		Entry known = this.entries.get(report.member().name());
		if (known == null || report.isNewerThan(known.report)) {
			if (known != null && !report.isSameRun(known.report)) {
				this.peers.remove(report.member().name());
			}
			put(report, now);
		}
	}

	// An earlier run of this daemon may have had a higher incarnation if the host's clock
	// was
	// set back. Peers would ignore this run until the earlier one is removed.
	private void outlive(MemberReport earlier, long now) {
		if (!earlier.isNewerThan(this.self)) {
			return;
		}
		Member member = this.self.member();
		Member renewed = new Member(member.name(), earlier.member().incarnation() + 1, member.address(),
				member.dataCentre(), member.region());
		publish(new MemberReport(renewed, 1, this.self.phase(), this.self.configVersion()), now);
	}

	private void mergeBeat(MemberBeat beat, long now) {
		Entry known = this.byKey.get(beat.key());
		if (known == null) {
			this.wanted.add(beat.key());
			return;
		}
		if (known.key != beat.key()) {
			return;
		}
		MemberReport report = known.report;
		if (beat.heartbeat() > report.heartbeat() && !report.member().name().equals(this.self.member().name())) {
			put(new MemberReport(report.member(), beat.heartbeat(), report.phase(), report.configVersion()), now);
		}
	}

	// Most peers have heard a report that is older than this from somebody else.
	private boolean isNews(Entry entry, PeerRecord record) {
		return entry.reportChange > record.confirmed && this.lastTick - entry.reportAt < NEWS_NANOS;
	}

	private void put(MemberReport report, long now) {
		Entry known = this.entries.get(report.member().name());
		this.change++;
		if (known == null || !known.report.isSameRun(report)) {
			Entry entry = new Entry(report, this.change, now);
			if (known != null) {
				forgetKeys(known);
			}
			this.entries.put(report.member().name(), entry);
			this.byKey.put(entry.key, entry);
			return;
		}
		update(known, report, now);
	}

	// A peer may send heartbeats under the key before the last change. They are
	// recognised,
	// so that nothing is asked for that is older than what is known.
	private void update(Entry known, MemberReport report, long now) {
		int key = key(report);
		if (key != known.key) {
			this.byKey.remove(known.previousKey, known);
			known.previousKey = known.key;
			known.key = key;
			known.reportChange = this.change;
			known.reportAt = now;
			this.byKey.put(key, known);
		}
		known.report = report;
		known.beatChange = this.change;
		known.heardAt = now;
	}

	private void forgetKeys(Entry entry) {
		this.byKey.remove(entry.key, entry);
		this.byKey.remove(entry.previousKey, entry);
	}

	private void removeSilent(long now) {
		List<Entry> silent = this.entries.values()
			.stream()
			.filter((entry) -> stateOf(entry, now) == MemberState.REMOVED)
			.toList();
		for (Entry entry : silent) {
			Member member = entry.report.member();
			this.entries.remove(member.name());
			forgetKeys(entry);
			this.peers.remove(member.name());
			this.removed.put(member.name(), entry);
		}
		this.removed.values().removeIf((entry) -> now - entry.heardAt >= REMEMBER_REMOVED_NANOS);
	}

	private MemberState stateOf(Entry entry, long now) {
		return MemberState.of(entry.report.phase(), now - entry.heardAt);
	}

	private List<EndpointNotice> noticesAfter(long confirmed) {
		return this.notices.values()
			.stream()
			.filter((entry) -> entry.change() > confirmed)
			.map(NoticeEntry::notice)
			.toList();
	}

	/** Changes that a peer has, as numbers of this table's change counter. */
	private static final class PeerRecord {

		private long sent;

		private long confirmed;

		private final Set<Integer> requested = new HashSet<>();

	}

	/**
	 * News about an endpoint.
	 *
	 * @param notice the news
	 * @param change the table's change counter at its arrival
	 */
	private record NoticeEntry(EndpointNotice notice, long change) {
	}

	/** One member, and when it changed. */
	private static final class Entry {

		private int key;

		private int previousKey;

		private MemberReport report;

		private long reportChange;

		private long beatChange;

		private long reportAt;

		private long heardAt;

		Entry(MemberReport report, long change, long now) {
			this.key = key(report);
			this.previousKey = this.key;
			this.reportAt = now;
			this.report = report;
			this.reportChange = change;
			this.beatChange = change;
			this.heardAt = now;
		}

	}

}
