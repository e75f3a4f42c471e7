package org.comfreyslip.entry.blame;

import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Set;
import java.util.concurrent.TimeUnit;

import org.comfreyslip.entry.EntryEvent;
import org.comfreyslip.entry.EntryLog;

/**
 * Decides which requests are refused because requests like them crash the endpoints that
 * begin to answer them.
 * <p>
 * A daemon may see one crash of many, so that each tells the others which of its requests
 * had been at an endpoint that ended, and which of their traits are sound because a
 * request with them was answered. Each daemon draws its own conclusion from all reports
 * and passes it on to those that missed some.
 */
public final class CrashBlame {

	/**
	 * Age from which an answer is told again, in ns, if the trait is at risk.
	 */
	private static final long ANSWER_RENEWAL_NANOS = TimeUnit.SECONDS.toNanos(1);

	/** Time after which a trial without a result may be followed by another, in ns. */
	private static final long TRIAL_TIMEOUT_NANOS = TimeUnit.SECONDS.toNanos(5);

	/**
	 * Number of times that a report is sent. A daemon that misses one may blame another
	 * trait than the others.
	 */
	private static final int REPORT_SENDS = 2;

	/** Largest number of requests in one report. */
	private static final int MAX_REPORTED = 32;

	/** Largest number of traits in one notice of answers. */
	private static final int MAX_ANSWERED = 256;

	/** Largest number of convictions in one notice. */
	private static final int MAX_CONVICTIONS = 32;

	private final SoundTraits sound = new SoundTraits();

	private final CrashWitness witness = new CrashWitness();

	private final CrashLedger ledger;

	private final Convictions convictions = new Convictions();

	private final TrialTurn turn;

	/** Steady time in ns of the last trial of this daemon, by traits of the cause. */
	private final Map<Set<String>, Long> trials = new HashMap<>();

	/** Reports that the other daemons have not been told as often as needed. */
	private final List<OwnReport> unsentReports = new ArrayList<>();

	/** Sound traits that the other daemons have to be told of. */
	private final Set<String> unsentAnswers = new HashSet<>();

	/** The newest answers that all daemons know. */
	private final SoundTraits told = new SoundTraits();

	/** Convictions that the other daemons have not been told yet. */
	private final Set<Set<String>> unsentConvictions = new HashSet<>();

	/**
	 * Changes of causes that this daemon made itself and that the store does not hold
	 * yet.
	 */
	private final List<CauseChange> causeChanges = new ArrayList<>();

	/**
	 * Creates a record without crashes.
	 * @param daemon this daemon's name
	 * @param nowNanos the current steady time in ns
	 */
	public CrashBlame(String daemon, long nowNanos) {
		this.ledger = new CrashLedger(this.sound, nowNanos);
		this.turn = new TrialTurn(daemon);
	}

	/**
	 * Replaces the set of other daemons. Called periodically.
	 * @param peers the names of the daemons that are alive, without this one
	 */
	public void setPeers(Collection<String> peers) {
		this.turn.setPeers(peers);
	}

	/**
	 * Decides whether a request may be sent to an endpoint. Must be asked before each
	 * send; a request on trial is sent once.
	 * @param traits the request's traits
	 * @param nowNanos the current steady time in ns
	 * @return empty if it may be sent, else the time in ms after which requests like it
	 * may be let through again
	 */
	public OptionalLong refusalMs(Set<String> traits, long nowNanos) {
		Optional<Conviction> found = this.convictions.find(traits, nowNanos);
		if (found.isEmpty()) {
			return OptionalLong.empty();
		}
		Conviction conviction = found.get();
		if (!conviction.isOnTrial(nowNanos)) {
			return OptionalLong.of(TimeUnit.NANOSECONDS.toMillis(conviction.remainingNanos(nowNanos)) + 1);
		}
		Long lastTrial = this.trials.get(conviction.traits());
		boolean tried = lastTrial != null && nowNanos - lastTrial < TRIAL_TIMEOUT_NANOS;
		if (tried || !this.turn.isOwnTurn(conviction, nowNanos)) {
			return OptionalLong.of(TimeUnit.NANOSECONDS.toMillis(TrialTurn.TURN_NANOS));
		}
		this.trials.put(conviction.traits(), nowNanos);
		EntryLog.write(EntryEvent.CRASH_CAUSE_TRIED, conviction.traits().toString(), "after_ms",
				TimeUnit.NANOSECONDS.toMillis(conviction.periodNanos()));
		return OptionalLong.empty();
	}

	/**
	 * Tells whether a request may be sent to another endpoint after the one that had it
	 * has ended.
	 * @param traits the request's traits
	 * @param nowNanos the current steady time in ns
	 * @return whether it may be repeated
	 */
	public boolean mayRepeat(Set<String> traits, long nowNanos) {
		return !this.ledger.isSuspected(traits, this.convictions.causes(), nowNanos);
	}

	/**
	 * Records that a send broke off before the answer had begun.
	 * @param endpoint identity and start of the endpoint's process
	 * @param suspect the request
	 * @param nowNanos the current steady time in ns
	 */
	public void onSendBroken(String endpoint, SuspectRequest suspect, long nowNanos) {
		if (!suspect.traits().isEmpty()) {
			this.witness.onSendBroken(endpoint, suspect, nowNanos);
		}
	}

	/**
	 * Records that an endpoint's process has ended without announcing it.
	 * @param endpoint identity and start of the endpoint's process
	 * @param nowNanos the current steady time in ns
	 */
	public void onEndpointEnded(String endpoint, long nowNanos) {
		this.witness.onEndpointEnded(endpoint, nowNanos);
	}

	/**
	 * Records that an endpoint has begun to answer a request and goes on with it.
	 * @param traits the request's traits
	 * @param nowNanos the current steady time in ns
	 */
	public void onAnswered(Set<String> traits, long nowNanos) {
		this.sound.recordOwn(traits, nowNanos);
		Map<Set<String>, Conviction> before = this.convictions.byTraits();
		for (String trait : traits) {
			if (this.convictions.acquit(trait, nowNanos)) {
				this.unsentAnswers.add(trait);
			}
		}
		recordCauseChanges(before, nowNanos);
	}

	// Records which causes differ from those before, for the store.
	private void recordCauseChanges(Map<Set<String>, Conviction> before, long nowNanos) {
		Map<Set<String>, Conviction> after = this.convictions.byTraits();
		if (after.equals(before)) {
			return;
		}
		before.keySet()
			.stream()
			.filter((traits) -> !after.containsKey(traits))
			.forEach((traits) -> this.causeChanges.add(new CauseChange(traits, Optional.empty())));
		after.forEach((traits, conviction) -> {
			if (!conviction.equals(before.get(traits))) {
				this.causeChanges.add(new CauseChange(traits, Optional.of(describe(conviction, nowNanos))));
			}
		});
	}

	/**
	 * Returns the causes that this daemon has found, renewed or cleared itself since the
	 * last call.
	 * @return the changes in their order; may be empty
	 */
	List<CauseChange> takeCauseChanges() {
		List<CauseChange> changes = List.copyOf(this.causeChanges);
		this.causeChanges.clear();
		return changes;
	}

	/**
	 * Adopts a cause that the store has kept since before this daemon started.
	 * @param cause the cause
	 * @param nowNanos the current steady time in ns
	 * @return whether the cause has ended
	 */
	boolean restore(CrashNotice.KnownCause cause, long nowNanos) {
		Conviction stored = new Conviction(Set.copyOf(cause.traits()), nowNanos - cause.ageNanos(),
				cause.periodNanos());
		if (stored.isOver(nowNanos)) {
			return true;
		}
		adopt(cause, "STORE", nowNanos);
		return false;
	}

	/**
	 * Handles what another daemon tells.
	 * @param notice the notice, with ages as of its arrival
	 * @param nowNanos the current steady time in ns
	 */
	public void onNotice(CrashNotice notice, long nowNanos) {
		notice.answered().forEach((trait, ageNanos) -> {
			long atNanos = nowNanos - ageNanos;
			this.sound.record(trait, atNanos);
			this.told.record(trait, atNanos);
			this.convictions.acquit(trait, atNanos);
		});
		notice.reports().forEach((report) -> addReport(report, nowNanos));
		notice.convictions().forEach((cause) -> adopt(cause, "PEER", nowNanos));
	}

	private void addReport(CrashReport report, long nowNanos) {
		this.ledger.add(report, nowNanos);
		this.convictions.onCrash(report.suspects(), nowNanos - report.ageNanos(), nowNanos);
	}

	// Traits that this daemon knows to be sound are left out, and the others are told.
	private void adopt(CrashNotice.KnownCause cause, String source, long nowNanos) {
		long sinceNanos = nowNanos - cause.ageNanos();
		Set<String> traits = new HashSet<>(cause.traits());
		for (String trait : cause.traits()) {
			if (this.sound.isSoundSince(trait, sinceNanos, nowNanos)) {
				traits.remove(trait);
				this.unsentAnswers.add(trait);
			}
		}
		Conviction conviction = new Conviction(Set.copyOf(traits), sinceNanos, cause.periodNanos());
		if (!traits.isEmpty() && !conviction.isOver(nowNanos)) {
			this.convictions.add(conviction, source, nowNanos);
		}
	}

	/**
	 * Draws conclusions from the reports and returns what the other daemons have to know.
	 * Called every few ms.
	 * @param nowNanos the current steady time in ns
	 * @return the notice for all other daemons; may be empty
	 */
	public CrashNotice update(long nowNanos) {
		// Expired causes are no change for the store: each daemon would remove them.
		this.convictions.removeExpired(nowNanos);
		Map<Set<String>, Conviction> before = this.convictions.byTraits();
		for (CrashReport report : this.witness.takeReports(nowNanos)) {
			EntryLog.write(EntryEvent.CRASH_WITNESSED, report.endpoint(), "suspects", report.suspects().size());
			CrashReport limited = new CrashReport(report.endpoint(), report.ageNanos(),
					likeliest(report.suspects(), nowNanos));
			addReport(limited, nowNanos);
			this.unsentReports.add(new OwnReport(limited, nowNanos, REPORT_SENDS));
		}
		this.ledger.removeExpired(nowNanos);
		this.trials.values().removeIf((atNanos) -> nowNanos - atNanos > Conviction.TRIAL_NANOS);
		if (this.ledger.takeChanged(nowNanos)) {
			tellOfTraitsAtRisk(nowNanos);
			convict(nowNanos);
		}
		recordCauseChanges(before, nowNanos);
		return takeNotice(nowNanos);
	}

	private void convict(long nowNanos) {
		this.ledger.findCause(this.convictions.causes(), nowNanos).ifPresent((traits) -> {
			if (this.convictions.add(Conviction.first(traits, nowNanos), "CRASHES", nowNanos)) {
				this.unsentConvictions.add(traits);
			}
		});
	}

	// Requests whose traits are all known to be sound come last.
	private List<SuspectRequest> likeliest(List<SuspectRequest> suspects, long nowNanos) {
		return suspects.stream()
			.sorted(Comparator.comparing((suspect) -> suspect.traits()
				.stream()
				.allMatch((trait) -> this.sound.lastAnswer(trait, nowNanos).isPresent())))
			.limit(MAX_REPORTED)
			.toList();
	}

	private void tellOfTraitsAtRisk(long nowNanos) {
		for (String trait : this.ledger.traitsAtRisk(this.convictions.causes(), nowNanos)) {
			OptionalLong answered = this.sound.lastAnswer(trait, nowNanos);
			if (answered.isPresent()
					&& !this.told.isSoundSince(trait, answered.getAsLong() - ANSWER_RENEWAL_NANOS, nowNanos)) {
				this.unsentAnswers.add(trait);
			}
		}
	}

	private CrashNotice takeNotice(long nowNanos) {
		Map<String, Long> answered = new HashMap<>();
		for (String trait : this.unsentAnswers) {
			OptionalLong last = this.sound.lastAnswer(trait, nowNanos);
			if (last.isPresent() && answered.size() < MAX_ANSWERED) {
				answered.put(trait, nowNanos - last.getAsLong());
				this.told.record(trait, last.getAsLong());
			}
		}
		List<CrashReport> reports = this.unsentReports.stream().map((one) -> one.report(nowNanos)).toList();
		for (CrashReport report : reports) {
			for (SuspectRequest suspect : report.suspects()) {
				for (String trait : suspect.traits()) {
					OptionalLong last = this.sound.lastAnswer(trait, nowNanos);
					if (last.isPresent() && answered.size() < MAX_ANSWERED) {
						answered.put(trait, nowNanos - last.getAsLong());
						this.told.record(trait, last.getAsLong());
					}
				}
			}
		}
		List<CrashNotice.KnownCause> causes = this.convictions.all()
			.stream()
			.filter((one) -> this.unsentConvictions.contains(one.traits()))
			.map((one) -> describe(one, nowNanos))
			.toList();
		CrashNotice notice = new CrashNotice(reports, answered, causes);
		this.unsentAnswers.clear();
		this.unsentReports.replaceAll(OwnReport::afterSend);
		this.unsentReports.removeIf((one) -> one.sendsLeft() == 0);
		this.unsentConvictions.clear();
		return notice;
	}

	/**
	 * Returns the known causes, for daemons that have not heard of them: they have
	 * started, were cut off or frozen, or a notice was lost.
	 * @param nowNanos the current steady time in ns
	 * @return the notice for some other daemons; may be empty
	 */
	public CrashNotice knownCauses(long nowNanos) {
		return new CrashNotice(List.of(), Map.of(),
				this.convictions.all()
					.stream()
					.sorted(Comparator.comparingLong((one) -> -one.remainingNanos(nowNanos)))
					.limit(MAX_CONVICTIONS)
					.map((one) -> describe(one, nowNanos))
					.toList());
	}

	private static CrashNotice.KnownCause describe(Conviction conviction, long nowNanos) {
		return new CrashNotice.KnownCause(List.copyOf(conviction.traits()), nowNanos - conviction.sinceNanos(),
				conviction.periodNanos());
	}

	/**
	 * Returns the number of known causes.
	 * @return the number of convictions in force or on trial
	 */
	public int convictionCount() {
		return this.convictions.all().size();
	}

	/**
	 * A report of this daemon.
	 *
	 * @param original the report as it was made
	 * @param madeNanos steady time in ns at which it was made
	 * @param sendsLeft how often it is still to be sent
	 */
	private record OwnReport(CrashReport original, long madeNanos, int sendsLeft) {

		CrashReport report(long nowNanos) {
			return new CrashReport(this.original.endpoint(), this.original.ageNanos() + nowNanos - this.madeNanos,
					this.original.suspects());
		}

		OwnReport afterSend() {
			return new OwnReport(this.original, this.madeNanos, this.sendsLeft - 1);
		}

	}

}
