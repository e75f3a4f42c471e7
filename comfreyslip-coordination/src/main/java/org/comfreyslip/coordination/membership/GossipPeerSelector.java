package org.comfreyslip.coordination.membership;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.function.Predicate;
import java.util.random.RandomGenerator;

/**
 * Selects the peers for gossip exchanges: each second one random member of the daemon's
 * own data centre, and every five seconds one of the other data centres. Not thread-safe.
 */
public final class GossipPeerSelector {

	private static final long LOCAL_INTERVAL_NANOS = 1_000_000_000L;

	private static final long REMOTE_INTERVAL_NANOS = 5_000_000_000L;

	private final Member self;

	private final RandomGenerator random;

	private long nextLocalNanos;

	private long nextRemoteNanos;

	/**
	 * Creates a selector whose first exchanges are due at once.
	 * @param self this daemon's run, which is never selected
	 * @param random source of random numbers
	 * @param nowNanos monotonic time in nanoseconds
	 */
	public GossipPeerSelector(Member self, RandomGenerator random, long nowNanos) {
		this.self = self;
		this.random = random;
		this.nextLocalNanos = nowNanos;
		this.nextRemoteNanos = nowNanos;
	}

	/**
	 * Selects the peers with which an exchange is due, and schedules the next exchange.
	 * @param table this daemon's view of the members
	 * @param nowNanos monotonic time in nanoseconds
	 * @return none, one or two members
	 */
	public List<Member> selectDuePeers(MemberTable table, long nowNanos) {
		List<Member> peers = new ArrayList<>();
		if (nowNanos - this.nextLocalNanos >= 0) {
			this.nextLocalNanos = nowNanos + LOCAL_INTERVAL_NANOS;
			selectRandom(table, nowNanos, this::isInOwnDataCentre).ifPresent(peers::add);
		}
		if (nowNanos - this.nextRemoteNanos >= 0) {
			this.nextRemoteNanos = nowNanos + REMOTE_INTERVAL_NANOS;
			selectRandom(table, nowNanos, (member) -> !isInOwnDataCentre(member)).ifPresent(peers::add);
		}
		return peers;
	}

	private Optional<Member> selectRandom(MemberTable table, long nowNanos, Predicate<Member> dataCentreFilter) {
		List<Member> candidates = table.members(MemberState::isGossipPeer, nowNanos)
			.stream()
			.filter((member) -> !member.name().equals(this.self.name()))
			.filter(dataCentreFilter)
			.toList();
		if (candidates.isEmpty()) {
			return Optional.empty();
		}
		return Optional.of(candidates.get(this.random.nextInt(candidates.size())));
	}

	private boolean isInOwnDataCentre(Member member) {
		return member.dataCentre().equals(this.self.dataCentre());
	}

}
