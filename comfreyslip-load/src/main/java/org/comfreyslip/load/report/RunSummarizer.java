package org.comfreyslip.load.report;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.Collection;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.TimeUnit;
import java.util.function.Function;
import java.util.function.ToDoubleFunction;
import java.util.stream.Collectors;

import org.HdrHistogram.Histogram;
import org.comfreyslip.load.run.Observation;
import org.comfreyslip.load.run.RunResult;
import org.comfreyslip.load.scenario.RequestKind;
import org.comfreyslip.load.scenario.Scenario;

/**
 * Summarises a run. Requests whose intended time lies in the warm-up are left out of
 * latencies and counts, but not of the violations.
 */
public final class RunSummarizer {

	private static final int DIGITS = 3;

	private static final int MAX_VIOLATIONS = 20;

	private static final long NANOS_PER_MICRO = 1_000;

	private final Scenario scenario;

	private final long from;

	private final long to;

	/**
	 * Creates a summariser.
	 * @param scenario the scenario
	 */
	public RunSummarizer(Scenario scenario) {
		this.scenario = scenario;
		this.from = TimeUnit.SECONDS.toNanos(scenario.warmUpSeconds());
		this.to = TimeUnit.SECONDS.toNanos(scenario.durationSeconds());
	}

	/**
	 * Summarises a run.
	 * @param result what was seen
	 * @param context settings and usage
	 * @return the summary
	 */
	public RunSummary summarize(RunResult result, RunContext context) {
		Collection<Observation> all = result.observations();
		double seconds = (double) (this.to - this.from) / TimeUnit.SECONDS.toNanos(1);
		double tokens = measuredTokens(all) / seconds;
		long done = all.stream().filter((seen) -> seen.answer().isDone() && isMeasured(seen.endNanos())).count();
		List<String> violations = violations(all, context.auditViolations());
		List<Recovery> recoveries = RecoveryTimes.of(result.faults(), all);
		return new RunSummary(this.scenario.name(), context.variation(), this.scenario.seed(), context.commit(),
				this.scenario.toString(), context.loadAverageStart(), context.loadAverageEnd(),
				result.latenessMaxMillis(), done / seconds, tokens, context.offeredTokens() / seconds,
				context.boundTokensPerSecond(),
				(context.boundTokensPerSecond() > 0) ? tokens / context.boundTokensPerSecond() : 0, openStreams(all),
				kinds(all), violations.size(), violations.stream().limit(MAX_VIOLATIONS).toList(), recoveries,
				spread(recoveries, Recovery::firstSuccess), spread(recoveries, Recovery::rateRestored),
				context.daemons());
	}

	/**
	 * Returns whether an instant lies in the measured time.
	 * @param nanos the instant, in nanoseconds after the start
	 * @return {@code false} in the warm-up and after the end of the arrivals
	 */
	public boolean isMeasured(long nanos) {
		return nanos >= this.from && nanos < this.to;
	}

	private long measuredTokens(Collection<Observation> all) {
		return all.stream().mapToLong(this::measuredTokens).sum();
	}

	private long measuredTokens(Observation seen) {
		if (seen.tokenNanos().length > 0) {
			return Arrays.stream(seen.tokenNanos()).filter(this::isMeasured).count();
		}
		return isMeasured(seen.endNanos()) ? seen.answer().tokens() : 0;
	}

	private double openStreams(Collection<Observation> all) {
		long open = all.stream()
			.filter((seen) -> seen.arrival().kind().isCompletion())
			.mapToLong((seen) -> Math.max(0,
					Math.min(this.to, seen.endNanos()) - Math.max(this.from, seen.arrival().atNanos())))
			.sum();
		return (double) open / (this.to - this.from);
	}

	private Map<String, KindSummary> kinds(Collection<Observation> all) {
		Map<String, KindSummary> kinds = new TreeMap<>();
		for (RequestKind kind : RequestKind.values()) {
			List<Observation> own = all.stream()
				.filter((seen) -> seen.arrival().kind() == kind && isMeasured(seen.arrival().atNanos()))
				.toList();
			if (!own.isEmpty()) {
				kinds.put(kind.key(), kind(own));
			}
		}
		return kinds;
	}

	private static KindSummary kind(List<Observation> own) {
		Histogram first = new Histogram(DIGITS);
		Histogram between = new Histogram(DIGITS);
		Histogram whole = new Histogram(DIGITS);
		for (Observation seen : own) {
			long[] tokens = seen.tokenNanos();
			if (tokens.length > 0) {
				first.recordValue((tokens[0] - seen.arrival().atNanos()) / NANOS_PER_MICRO);
			}
			for (int i = 1; i < tokens.length; i++) {
				between.recordValue((tokens[i] - tokens[i - 1]) / NANOS_PER_MICRO);
			}
			if (seen.answer().isDone()) {
				whole.recordValue((seen.endNanos() - seen.arrival().atNanos()) / NANOS_PER_MICRO);
			}
		}
		return new KindSummary(own.size(), count(own, (seen) -> seen.answer().answerClass().name()),
				count(own, (seen) -> (seen.answer().code() != null) ? seen.answer().code() : "NONE"),
				own.stream().mapToLong((seen) -> seen.answer().tokens()).sum(), LatencySummary.of(first),
				LatencySummary.of(between), LatencySummary.of(whole));
	}

	private static Map<String, Long> count(List<Observation> own, Function<Observation, String> name) {
		return own.stream().collect(Collectors.groupingBy(name, TreeMap::new, Collectors.counting()));
	}

	private static List<String> violations(Collection<Observation> all, List<String> audit) {
		List<String> violations = new ArrayList<>(audit);
		for (Observation seen : all) {
			if (seen.answer().violation() != null) {
				violations.add("request " + seen.arrival().index() + " (" + seen.arrival().kind().key() + "): "
						+ seen.answer().violation());
			}
		}
		return violations;
	}

	private static LatencySummary spread(List<Recovery> recoveries, ToDoubleFunction<Recovery> millis) {
		Histogram histogram = new Histogram(DIGITS);
		recoveries.stream()
			.mapToDouble(millis)
			.filter((value) -> value >= 0)
			.forEach((value) -> histogram.recordValue((long) (value * 1_000)));
		return LatencySummary.of(histogram);
	}

}
