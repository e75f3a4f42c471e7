package org.comfreyslip.daemon.peer;

import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.random.RandomGenerator;

/**
 * Selects an address of the settings that no known member has: each second while no
 * member is known, otherwise every five seconds, so that parts of a deployment that were
 * separated for longer than members are remembered find each other again. Not
 * thread-safe.
 */
final class SeedSelector {

	private static final long ALONE_NANOS = 1_000_000_000L;

	private static final long INTERVAL_NANOS = 5_000_000_000L;

	private final List<String> addresses;

	private final RandomGenerator random;

	private long next;

	SeedSelector(Set<String> addresses, RandomGenerator random, long now) {
		this.addresses = addresses.stream().sorted().toList();
		this.random = random;
		this.next = now;
	}

	List<String> addresses() {
		return this.addresses;
	}

	Optional<String> due(Set<String> known, long now) {
		if (now - this.next < 0) {
			return Optional.empty();
		}
		this.next = now + (known.isEmpty() ? ALONE_NANOS : INTERVAL_NANOS);
		List<String> unknown = this.addresses.stream().filter((address) -> !known.contains(address)).toList();
		if (unknown.isEmpty()) {
			return Optional.empty();
		}
		return Optional.of(unknown.get(this.random.nextInt(unknown.size())));
	}

}
