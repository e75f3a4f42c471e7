package org.comfreyslip.entry.blame;

import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.TimeUnit;

import org.comfreyslip.entry.EntryEvent;
import org.comfreyslip.entry.EntryLog;

/**
 * The convictions in force or on trial, by their traits.
 */
final class Convictions {

	/** Largest number of convictions; the ones that end first are forgotten first. */
	private static final int MAX_CONVICTIONS = 64;

	/**
	 * Least time by which a conviction must be longer to replace one, in ns. Ages grow
	 * less in messages than the time that these take.
	 */
	private static final long MIN_EXTENSION_NANOS = TimeUnit.SECONDS.toNanos(2);

	private final Map<Set<String>, Conviction> byTraits = new HashMap<>();

	/**
	 * Returns all convictions.
	 * @return the live convictions, in no particular order
	 */
	Collection<Conviction> all() {
		return this.byTraits.values();
	}

	/**
	 * Returns a copy of the convictions.
	 * @return the convictions by their traits
	 */
	Map<Set<String>, Conviction> byTraits() {
		return Map.copyOf(this.byTraits);
	}

	/**
	 * Returns the traits of all convictions.
	 * @return the live sets of traits, in no particular order
	 */
	Collection<Set<String>> causes() {
		return this.byTraits.keySet();
	}

	/**
	 * Returns the conviction that applies to a request for longest.
	 * @param traits the request's traits
	 * @param nowNanos the current steady time in ns
	 * @return the conviction; empty if none applies
	 */
	Optional<Conviction> find(Set<String> traits, long nowNanos) {
		Conviction found = null;
		for (Conviction one : this.byTraits.values()) {
			if (traits.containsAll(one.traits())
					&& (found == null || one.remainingNanos(nowNanos) > found.remainingNanos(nowNanos))) {
				found = one;
			}
		}
		return Optional.ofNullable(found);
	}

	/**
	 * Adds a conviction, or replaces the one of the same traits if it ends earlier. Those
	 * that need more traits are covered by it and removed.
	 * @param added the conviction
	 * @param source where it comes from, for the log
	 * @param nowNanos the current steady time in ns
	 * @return whether it is new or longer than the known one
	 */
	boolean add(Conviction added, String source, long nowNanos) {
		Conviction known = this.byTraits.get(added.traits());
		boolean covered = this.byTraits.keySet()
			.stream()
			.anyMatch((other) -> !other.equals(added.traits()) && added.traits().containsAll(other));
		if (covered || (known != null
				&& added.remainingNanos(nowNanos) - known.remainingNanos(nowNanos) < MIN_EXTENSION_NANOS)) {
			return false;
		}
		this.byTraits.keySet().removeIf((other) -> !other.equals(added.traits()) && other.containsAll(added.traits()));
		this.byTraits.put(added.traits(), added);
		if (this.byTraits.size() > MAX_CONVICTIONS) {
			this.byTraits.values()
				.stream()
				.min(Comparator.comparingLong((one) -> one.remainingNanos(nowNanos)))
				.ifPresent((one) -> this.byTraits.remove(one.traits()));
		}
		EntryLog.write(EntryEvent.CRASH_CAUSE_FOUND, describe(added.traits()), "source", source, "for_ms",
				added.remainingNanos(nowNanos) / 1_000_000, "before", known != null);
		return true;
	}

	/**
	 * Removes a trait from all convictions, since a request with it was answered. A
	 * conviction without further traits ends.
	 * @param trait the trait
	 * @param answeredNanos steady time in ns of the answer; has no effect on later
	 * convictions
	 * @return whether a conviction has changed
	 */
	boolean acquit(String trait, long answeredNanos) {
		List<Conviction> affected = new ArrayList<>();
		for (Conviction one : this.byTraits.values()) {
			if (one.traits().contains(trait) && answeredNanos - one.sinceNanos() >= 0) {
				affected.add(one);
			}
		}
		for (Conviction one : affected) {
			this.byTraits.remove(one.traits());
			Set<String> remaining = new HashSet<>(one.traits());
			remaining.remove(trait);
			if (!remaining.isEmpty()) {
				Set<String> narrowed = Set.copyOf(remaining);
				this.byTraits.putIfAbsent(narrowed, one.narrowedTo(narrowed));
			}
			EntryLog.write(EntryEvent.CRASH_CAUSE_ACQUITTED, trait, "of", describe(one.traits()), "remaining",
					describe(remaining));
		}
		return !affected.isEmpty();
	}

	/**
	 * Renews the convictions on trial that a crash has confirmed.
	 * @param suspects the requests that were at an endpoint that ended
	 * @param crashedNanos steady time in ns of the crash
	 * @param nowNanos the current steady time in ns
	 */
	void onCrash(List<SuspectRequest> suspects, long crashedNanos, long nowNanos) {
		for (Conviction one : List.copyOf(this.byTraits.values())) {
			boolean confirmed = one.isOnTrial(crashedNanos)
					&& suspects.stream().anyMatch((suspect) -> suspect.traits().containsAll(one.traits()));
			if (confirmed) {
				add(one.renewed(nowNanos), "TRIAL", nowNanos);
			}
		}
	}

	/**
	 * Forgets the convictions whose trial is over.
	 * @param nowNanos the current steady time in ns
	 */
	void removeExpired(long nowNanos) {
		this.byTraits.values().removeIf((one) -> one.isOver(nowNanos));
	}

	private static String describe(Set<String> traits) {
		return traits.stream().sorted().toList().toString();
	}

}
