package org.comfreyslip.coordination.membership;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.function.Predicate;
import java.util.random.RandomGenerator;

/**
 * Selects exchange peers: one random member of the own data centre each second and one of
 * another data centre every five seconds. Not thread-safe.
 */
public final class GossipPeerSelector {

	private static final long OWN_INTERVAL_NANOS = 1_000_000_000L;

	private static final long OTHER_INTERVAL_NANOS = 5_000_000_000L;

	private final Member self;

	private final RandomGenerator random;

	private long nextOwn;

	private long nextOther;

	/**
	 * Creates a selector whose first exchanges are due at once.
	 * @param self this daemon's run
	 * @param random source of random numbers
	 * @param now the current time
	 */
	public GossipPeerSelector(Member self, RandomGenerator random, long now) {
		this.self = self;
		this.random = random;
		this.nextOwn = now;
		this.nextOther = now;
	}

	/**
	 * Returns the peers to exchange with now.
	 * @param table the members
	 * @param now the current time
	 * @return none, one or two members
	 */
	public List<Member> due(MemberTable table, long now) {
		List<Member> peers = new ArrayList<>();
		if (now - this.nextOwn >= 0) {
			this.nextOwn = now + OWN_INTERVAL_NANOS;
			pick(table, now, this::isOwnDataCentre).ifPresent(peers::add);
		}
		if (now - this.nextOther >= 0) {
			this.nextOther = now + OTHER_INTERVAL_NANOS;
			pick(table, now, (member) -> !isOwnDataCentre(member)).ifPresent(peers::add);
		}
		return peers;
	}

	private Optional<Member> pick(MemberTable table, long now, Predicate<Member> wanted) {
		List<Member> candidates = table.members(MemberState::isExchangePeer, now)
			.stream()
			.filter((member) -> !member.name().equals(this.self.name()))
			.filter(wanted)
			.toList();
		if (candidates.isEmpty()) {
			return Optional.empty();
		}
		return Optional.of(candidates.get(this.random.nextInt(candidates.size())));
	}

	private boolean isOwnDataCentre(Member member) {
		return member.dataCentre().equals(this.self.dataCentre());
	}

}
