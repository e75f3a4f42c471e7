package org.comfreyslip.daemon.peer;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.random.RandomGenerator;

import org.comfreyslip.coordination.membership.AccountUsage;
import org.comfreyslip.coordination.membership.ConfigReaderSelection;
import org.comfreyslip.coordination.membership.EndpointNotification;
import org.comfreyslip.coordination.membership.GossipPeerSelector;
import org.comfreyslip.coordination.membership.Member;
import org.comfreyslip.coordination.membership.MemberReport;
import org.comfreyslip.coordination.membership.MemberState;
import org.comfreyslip.coordination.membership.MemberTable;
import org.comfreyslip.coordination.membership.MembershipDelta;
import org.comfreyslip.coordination.membership.ProbeSelection;
import org.comfreyslip.routing.topology.EngineSpec;

/**
 * The member table and the exchanges in progress, guarded by the membership lock.
 */
final class PeerMembership {

	/** Time without a delta from any peer after which gossip counts as silent. */
	private static final long SILENT_NANOS = 10_000_000_000L;

	private final MemberTable table;

	private final GossipPeerSelector selector;

	private final SeedSelector seeds;

	private final Set<String> openExchanges = new HashSet<>();

	private final Set<String> repliedDuringExchange = new HashSet<>();

	private long lastDeltaAtNanos;

	PeerMembership(Member self, Set<String> seedAddresses, RandomGenerator random, long now) {
		this.table = new MemberTable(self, now);
		this.selector = new GossipPeerSelector(self, random, now);
		this.seeds = new SeedSelector(seedAddresses, random, now);
		this.lastDeltaAtNanos = now;
	}

	synchronized void tick(long now, long configVersion) {
		this.table.tick(now, configVersion);
	}

	synchronized List<PeerTarget> dueTargets(long now) {
		List<PeerTarget> targets = new ArrayList<>();
		this.selector.selectDuePeers(this.table, now).forEach((member) -> targets.add(PeerTarget.of(member)));
		Set<String> known = new HashSet<>();
		otherMembers(now).forEach((member) -> known.add(member.address()));
		this.seeds.selectDue(known, now).ifPresent((address) -> targets.add(PeerTarget.ofSeed(address)));
		return targets;
	}

	/**
	 * Begins an exchange.
	 * @param peer the peer's name
	 * @param usage usage of client accounts on this daemon
	 * @return the encoded delta to send, or empty while an exchange with the peer is
	 * open, because the replies of two exchanges could not be told apart
	 */
	synchronized Optional<byte[]> beginExchange(String peer, List<AccountUsage> usage) {
		if (!this.openExchanges.add(peer)) {
			return Optional.empty();
		}
		this.repliedDuringExchange.remove(peer);
		return Optional.of(this.table.deltaFor(peer, usage).encode());
	}

	/**
	 * Ends an exchange. The delta counts as received only if the peer replied, and if no
	 * reply to an exchange that the peer began was created meanwhile, because that reply
	 * may have been lost.
	 * @param peer the name that the exchange was begun with
	 * @param replied whether the peer replied
	 */
	synchronized void endExchange(String peer, boolean replied) {
		this.openExchanges.remove(peer);
		if (replied && !this.repliedDuringExchange.remove(peer)) {
			this.table.onExchangeConfirmed(peer);
		}
	}

	synchronized List<EndpointNotification> merge(MembershipDelta delta, long now) {
		this.lastDeltaAtNanos = now;
		return this.table.merge(delta, now);
	}

	/**
	 * Returns a delta that is never confirmed, for a reply or an announcement. Its
	 * content is sent again with the next exchange that this daemon begins.
	 * @param peer the peer's name
	 * @param usage usage of client accounts on this daemon
	 * @return the encoded delta to send
	 */
	synchronized byte[] unconfirmedDeltaFor(String peer, List<AccountUsage> usage) {
		this.repliedDuringExchange.add(peer);
		return this.table.deltaFor(peer, usage).encode();
	}

	synchronized void announce(MemberReport.Phase phase, long now) {
		if (phase.compareTo(this.table.self().phase()) > 0) {
			this.table.announce(phase, now);
		}
	}

	synchronized void addNotification(EndpointNotification notification) {
		this.table.addNotification(notification);
	}

	synchronized List<Member> otherMembers(long now) {
		String self = this.table.self().member().name();
		return this.table.members(MemberState::isGossipPeer, now)
			.stream()
			.filter((member) -> !member.name().equals(self))
			.toList();
	}

	synchronized int liveDaemons(long now) {
		return Math.max(1, this.table.members(MemberState::canOwnTasks, now).size());
	}

	synchronized MemberState state(String name, long now) {
		return this.table.state(name, now);
	}

	synchronized Set<String> knownAddresses(long now) {
		Set<String> addresses = new HashSet<>(this.seeds.addresses());
		this.table.members((state) -> true, now).forEach((member) -> addresses.add(member.address()));
		return addresses;
	}

	synchronized boolean isLogReader(long now) {
		return now - this.lastDeltaAtNanos >= SILENT_NANOS || ConfigReaderSelection.isReader(this.table, now);
	}

	// While gossip is silent, notifications of other probing daemons do not arrive.
	synchronized boolean isProber(EngineSpec engine, long now) {
		return now - this.lastDeltaAtNanos >= SILENT_NANOS
				|| ProbeSelection.isProber(engine.name(), engine.dataCentre(), this.table, now);
	}

	synchronized boolean isFirstLiveDaemon(long now) {
		List<Member> owners = this.table.members(MemberState::canOwnTasks, now);
		return !owners.isEmpty() && owners.get(0).name().equals(this.table.self().member().name());
	}

	/**
	 * Finds a member with a newer configuration.
	 * @param version the version of this daemon
	 * @param now the current time
	 * @return the member with the highest version above that, or empty if there is none
	 */
	synchronized Optional<Member> findMemberWithNewerConfig(long version, long now) {
		return otherMembers(now).stream()
			.flatMap((member) -> this.table.report(member.name()).stream())
			.filter((report) -> report.configVersion() > version)
			.max(Comparator.comparingLong(MemberReport::configVersion))
			.map(MemberReport::member);
	}

}
