package org.comfreyslip.entry.blame;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.function.Predicate;

/**
 * A crash that counts against a trait.
 *
 * @param atNanos steady time in ns at which the endpoint ended
 * @param requests the traits that count of each request with the trait, by its identity
 */
record Incident(long atNanos, Map<String, Set<String>> requests) {

	/**
	 * Longest time between crashes that count as one, in ns: hosts that are lost
	 * together, for example with their rack.
	 */
	private static final long SIMULTANEOUS_NANOS = TimeUnit.MILLISECONDS.toNanos(40);

	/**
	 * Returns the traits that the crashes cannot tell apart from a trait: each crash had
	 * a request with all of them.
	 * @param trait the trait
	 * @param incidents the crashes that count against it; not empty
	 * @param mayBeCause whether another trait may be a cause
	 * @return the traits, with the given one
	 */
	static Set<String> commonTraits(String trait, List<Incident> incidents, Predicate<String> mayBeCause) {
		Set<String> common = new HashSet<>(Set.of(trait));
		List<String> others = incidents.get(0)
			.requests()
			.values()
			.stream()
			.flatMap(Set::stream)
			.distinct()
			.filter((other) -> !other.equals(trait) && mayBeCause.test(other))
			.sorted()
			.toList();
		for (String other : others) {
			common.add(other);
			if (!incidents.stream().allMatch((incident) -> incident.hasRequestWith(common))) {
				common.remove(other);
			}
		}
		return Set.copyOf(common);
	}

	private boolean hasRequestWith(Set<String> traits) {
		return this.requests.values().stream().anyMatch((one) -> one.containsAll(traits));
	}

	/**
	 * Returns the requests with some traits of each crash, with crashes at the same time
	 * as one.
	 * @param incidents the crashes in order of their times
	 * @param traits the traits
	 * @return the identities of the requests
	 */
	static List<Set<String>> separate(List<Incident> incidents, Set<String> traits) {
		List<Set<String>> separate = new ArrayList<>();
		long previousNanos = 0;
		for (Incident incident : incidents) {
			if (separate.isEmpty() || incident.atNanos() - previousNanos > SIMULTANEOUS_NANOS) {
				separate.add(new HashSet<>());
			}
			Set<String> crash = separate.get(separate.size() - 1);
			incident.requests().forEach((id, ofRequest) -> {
				if (ofRequest.containsAll(traits)) {
					crash.add(id);
				}
			});
			previousNanos = incident.atNanos();
		}
		return separate;
	}

}
