package org.comfreyslip.daemon.peer;

import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.random.RandomGenerator;

/**
 * Selects a configured peer address that no known member has: every second while no
 * member is known, otherwise every five seconds. This reconnects partitions of a
 * deployment that lasted longer than members are remembered. Not thread-safe.
 */
final class SeedSelector {

	private static final long ALONE_INTERVAL_NANOS = 1_000_000_000L;

	private static final long INTERVAL_NANOS = 5_000_000_000L;

	private final List<String> addresses;

	private final RandomGenerator random;

	private long nextDueNanos;

	SeedSelector(Set<String> addresses, RandomGenerator random, long now) {
		this.addresses = addresses.stream().sorted().toList();
		this.random = random;
		this.nextDueNanos = now;
	}

	List<String> addresses() {
		return this.addresses;
	}

	Optional<String> selectDue(Set<String> known, long now) {
		if (now - this.nextDueNanos < 0) {
			return Optional.empty();
		}
		this.nextDueNanos = now + (known.isEmpty() ? ALONE_INTERVAL_NANOS : INTERVAL_NANOS);
		List<String> unknown = this.addresses.stream().filter((address) -> !known.contains(address)).toList();
		if (unknown.isEmpty()) {
			return Optional.empty();
		}
		return Optional.of(unknown.get(this.random.nextInt(unknown.size())));
	}

}
