package org.comfreyslip.entry.blame;

import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.TimeUnit;

/**
 * The recent crashes of endpoints as all daemons reported them, and what the requests
 * that may have caused them have in common.
 * <p>
 * A trait is a cause if different requests with it were at endpoints that crashed at
 * different times, at least at half of those that crashed meanwhile, and no request with
 * it was answered since. The crashes that a known cause explains do not count against
 * other traits, so that requests which were at the same endpoints as the bad ones are not
 * blamed.
 */
final class CrashLedger {

	/**
	 * Number of crashes with different requests that show a cause if they follow each
	 * other within {@link #DENSE_NANOS}.
	 */
	private static final int DENSE_CRASHES = 3;

	/**
	 * Number of crashes with different requests that show a cause however far they are
	 * apart. Hosts that fail now and then hit the requests with a rare trait by chance.
	 */
	private static final int SPARSE_CRASHES = 4;

	/**
	 * Number of crashes with different requests from which on a request is not repeated.
	 */
	private static final int SUSPECT_CRASHES = 2;

	/**
	 * Longest time between the first and the last of {@link #DENSE_CRASHES}, in ns;
	 * longer than an engine needs to start again.
	 */
	private static final long DENSE_NANOS = TimeUnit.SECONDS.toNanos(6);

	/** Largest number of crashes; the oldest are forgotten first. */
	private static final int MAX_CRASHES = 24;

	/** Largest number of requests of one crash. */
	private static final int MAX_SUSPECTS = 256;

	/** Time for which a crash counts, in ns. */
	private static final long MEMORY_NANOS = TimeUnit.SECONDS.toNanos(60);

	/**
	 * Time after the first report of a crash in which the reports of other daemons
	 * arrive, in ns.
	 */
	private static final long SETTLING_NANOS = TimeUnit.MILLISECONDS.toNanos(150);

	/**
	 * Least time from the first crash to the last one, in ns, that shows that a trait is
	 * a cause although requests with it may have been answered shortly before.
	 */
	private static final long LASTING_NANOS = TimeUnit.MILLISECONDS.toNanos(1_500);

	/**
	 * Time after its start in which a daemon does not know which traits are sound, in ns.
	 */
	private static final long LEARNING_NANOS = TimeUnit.SECONDS.toNanos(10);

	/**
	 * Age up to which collected crashes are used again for the requests that break off
	 * with one endpoint, in ns.
	 */
	private static final long COLLECTION_AGE_NANOS = TimeUnit.MILLISECONDS.toNanos(20);

	private final SoundTraits sound;

	private final long startedNanos;

	/** The crashes by trait as of {@link #collectedNanos}. */
	private Map<String, List<Incident>> collected = Map.of();

	/** Steady time in ns at which the crashes were collected last. */
	private long collectedNanos;

	/** Whether a report has arrived since the conclusions were drawn. */
	private boolean changed;

	/** Steady time in ns of the last report. */
	private long lastReportNanos;

	/** Crashes by endpoint, in the order of their first reports. */
	private final Map<String, Crash> crashes = new LinkedHashMap<>();

	/**
	 * Creates a ledger without crashes.
	 * @param sound when requests with a trait were last answered
	 * @param nowNanos the current steady time in ns
	 */
	CrashLedger(SoundTraits sound, long nowNanos) {
		this.sound = sound;
		this.startedNanos = nowNanos;
		this.collectedNanos = nowNanos;
	}

	/**
	 * Adds what a daemon reports of a crash.
	 * @param report the report, with its age now
	 * @param nowNanos the current steady time in ns
	 */
	void add(CrashReport report, long nowNanos) {
		this.changed = true;
		this.lastReportNanos = nowNanos;
		Crash crash = this.crashes.get(report.endpoint());
		if (crash == null) {
			if (this.crashes.size() >= MAX_CRASHES) {
				this.crashes.remove(this.crashes.keySet().iterator().next());
			}
			crash = new Crash(nowNanos - report.ageNanos(), nowNanos);
			this.crashes.put(report.endpoint(), crash);
		}
		for (SuspectRequest suspect : report.suspects()) {
			if (crash.suspects.size() < MAX_SUSPECTS) {
				crash.suspects.putIfAbsent(suspect.id(), suspect.traits());
			}
		}
	}

	/**
	 * Forgets crashes that are too old to count.
	 * @param nowNanos the current steady time in ns
	 */
	void removeExpired(long nowNanos) {
		this.crashes.values().removeIf((crash) -> nowNanos - crash.atNanos > MEMORY_NANOS);
	}

	/**
	 * Tells whether the crashes may show more than they did before. Only a report makes
	 * that so, until it has settled.
	 * @param nowNanos the current steady time in ns
	 * @return whether conclusions should be drawn now
	 */
	boolean takeChanged(long nowNanos) {
		boolean due = this.changed;
		this.changed = due && nowNanos - this.lastReportNanos < SETTLING_NANOS;
		return due;
	}

	/**
	 * Returns the traits that one more crash or two could show to be causes.
	 * @param convicted the traits of the known causes
	 * @param nowNanos the current steady time in ns
	 * @return the traits of suspects in at least two crashes that count; may be empty
	 */
	Set<String> traitsAtRisk(Collection<Set<String>> convicted, long nowNanos) {
		Set<String> atRisk = new HashSet<>();
		collect(convicted, nowNanos).forEach((trait, found) -> {
			if (found.size() >= DENSE_CRASHES - 1) {
				atRisk.add(trait);
			}
		});
		return atRisk;
	}

	/**
	 * Returns what the requests that crash endpoints have in common.
	 * @param convicted the traits of the known causes
	 * @param nowNanos the current steady time in ns
	 * @return the traits which a request must have all to be refused; empty if the
	 * crashes show no further cause
	 */
	Optional<Set<String>> findCause(Collection<Set<String>> convicted, long nowNanos) {
		List<Candidate> convincing = new ArrayList<>();
		List<Crash> unexplained = settled(nowNanos).stream()
			.filter((crash) -> convicted.stream().noneMatch(crash::isExplainedBy))
			.toList();
		for (Map.Entry<String, List<Incident>> entry : collect(convicted, nowNanos).entrySet()) {
			if (entry.getValue().size() < DENSE_CRASHES) {
				continue;
			}
			Candidate candidate = assess(entry.getKey(), entry.getValue(), unexplained, nowNanos);
			boolean known = convicted.stream().anyMatch((traits) -> candidate.common().containsAll(traits));
			if (candidate.convincing() && !known) {
				convincing.add(candidate);
			}
		}
		return convincing.stream().max(Candidate.ORDER).map((best) -> {
			// Of several causes that are equally likely, none is blamed without the
			// others.
			Set<String> traits = new HashSet<>();
			convincing.stream()
				.filter((one) -> Candidate.ORDER.compare(one, best) == 0)
				.forEach((one) -> traits.addAll(one.common()));
			return Set.copyOf(traits);
		});
	}

	// Returns by trait the crashes that count against it, in order of their times, with
	// the requests that have it.
	private Map<String, List<Incident>> collect(Collection<Set<String>> convicted, long nowNanos) {
		Map<String, List<Incident>> byTrait = new HashMap<>();
		for (Crash crash : settled(nowNanos)) {
			Optional<Set<String>> explanation = convicted.stream().filter(crash::isExplainedBy).findFirst();
			Map<String, Incident> ofCrash = new HashMap<>();
			crash.suspects.forEach((id, traits) -> {
				if (explanation.isPresent() && !traits.containsAll(explanation.get())) {
					return;
				}
				Set<String> counted = explanation.orElse(traits);
				for (String trait : counted) {
					if (!this.sound.isSoundSince(trait, crash.atNanos, nowNanos)) {
						ofCrash.computeIfAbsent(trait, (key) -> new Incident(crash.atNanos, new HashMap<>()))
							.requests()
							.put(id, counted);
					}
				}
			});
			ofCrash
				.forEach((trait, incident) -> byTrait.computeIfAbsent(trait, (key) -> new ArrayList<>()).add(incident));
		}
		return byTrait;
	}

	// Returns the crashes of which all reports should have arrived, in order of their
	// times.
	private List<Crash> settled(long nowNanos) {
		return this.crashes.values()
			.stream()
			.filter((crash) -> nowNanos - crash.firstReportNanos >= SETTLING_NANOS)
			.sorted(Comparator.comparingLong((crash) -> crash.atNanos - nowNanos))
			.toList();
	}

	private Candidate assess(String trait, List<Incident> incidents, List<Crash> unexplained, long nowNanos) {
		long firstNanos = incidents.get(0).atNanos();
		long lastNanos = incidents.get(incidents.size() - 1).atNanos();
		boolean mayBeSound = this.sound.lastAnswer(trait, nowNanos).isPresent()
				|| (firstNanos - this.startedNanos < LEARNING_NANOS && !RequestTraits.isOfOneRequest(trait));
		Set<String> common = Incident.commonTraits(trait, incidents,
				(other) -> this.sound.lastAnswer(other, nowNanos).isEmpty());
		boolean needsMore = lastNanos - firstNanos > DENSE_NANOS && !RequestTraits.isOfOneRequest(trait);
		int needed = (needsMore) ? SPARSE_CRASHES : DENSE_CRASHES;
		List<Set<String>> independent = Incident.separate(incidents, common);
		int others = Incident
			.separate(unexplained.stream()
				.filter((crash) -> crash.atNanos - firstNanos > 0 && lastNanos - crash.atNanos > 0)
				.filter((crash) -> !crash.isExplainedBy(Set.of(trait)))
				.map((crash) -> new Incident(crash.atNanos, crash.suspects))
				.toList(), Set.of())
			.size();
		boolean convincing = CrashMatching.count(independent, needed) >= needed && others <= independent.size()
				&& (!mayBeSound
						|| (lastNanos - firstNanos >= LASTING_NANOS && this.sound.areOthersAnsweredSince(firstNanos)));
		return new Candidate(common, convincing, mayBeSound, incidents.size());
	}

	/**
	 * Tells whether a request should not be repeated after a crash, since it was at two
	 * crashes before, or different requests with one of its traits were, and none was
	 * answered.
	 * @param traits the request's traits
	 * @param convicted the traits of the known causes
	 * @param nowNanos the current steady time in ns
	 * @return whether it is suspected
	 */
	boolean isSuspected(Set<String> traits, Collection<Set<String>> convicted, long nowNanos) {
		if (nowNanos - this.collectedNanos > COLLECTION_AGE_NANOS) {
			this.collected = collect(convicted, nowNanos);
			this.collectedNanos = nowNanos;
		}
		Map<String, List<Incident>> byTrait = this.collected;
		return traits.stream()
			.filter((trait) -> byTrait.containsKey(trait) && this.sound.lastAnswer(trait, nowNanos).isEmpty())
			.anyMatch((trait) -> isSuspected(trait, byTrait.get(trait)));
	}

	private static boolean isSuspected(String trait, List<Incident> incidents) {
		if (RequestTraits.isOfOneRequest(trait)) {
			return incidents.size() >= SUSPECT_CRASHES;
		}
		return CrashMatching.count(Incident.separate(incidents, Set.of(trait)), SUSPECT_CRASHES) == SUSPECT_CRASHES;
	}

	/** A crash with the requests that may have caused it. */
	private static final class Crash {

		private final long atNanos;

		private final long firstReportNanos;

		/** The traits of each suspect by the identity of its attempt. */
		private final Map<String, Set<String>> suspects = new HashMap<>();

		Crash(long atNanos, long firstReportNanos) {
			this.atNanos = atNanos;
			this.firstReportNanos = firstReportNanos;
		}

		boolean isExplainedBy(Set<String> cause) {
			return this.suspects.values().stream().anyMatch((traits) -> traits.containsAll(cause));
		}

	}

	/**
	 * A trait that may be a cause.
	 *
	 * @param common the traits of the cause: the trait and those that cannot be told
	 * apart from it
	 * @param convincing whether the crashes show that it is a cause
	 * @param mayBeSound whether a request with it may have been answered before the
	 * crashes
	 * @param crashCount number of crashes that count against it
	 */
	private record Candidate(Set<String> common, boolean convincing, boolean mayBeSound, int crashCount) {

		/** The likeliest cause, and of equally likely ones the most specific, is last. */
		private static final Comparator<Candidate> ORDER = Comparator.comparing(Candidate::mayBeSound)
			.reversed()
			.thenComparingInt(Candidate::crashCount)
			.thenComparingInt((candidate) -> candidate.common().size());

	}

}
