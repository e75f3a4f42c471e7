package org.comfreyslip.load;

import java.lang.management.ManagementFactory;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

import com.fasterxml.jackson.databind.JsonNode;
import org.comfreyslip.clients.HttpCall;
import org.comfreyslip.clients.HttpTransport;
import org.comfreyslip.clients.JsonCodec;
import org.comfreyslip.load.embedded.EmbeddedDeployment;
import org.comfreyslip.load.embedded.ProcessUsage;
import org.comfreyslip.load.report.ProcessSummary;
import org.comfreyslip.load.report.RunContext;
import org.comfreyslip.load.report.RunSummarizer;
import org.comfreyslip.load.report.RunSummary;
import org.comfreyslip.load.run.LoadRun;
import org.comfreyslip.load.run.ReferenceText;
import org.comfreyslip.load.run.RunResult;
import org.comfreyslip.load.run.StampAudit;
import org.comfreyslip.load.scenario.Arrival;
import org.comfreyslip.load.scenario.ArrivalSchedule;
import org.comfreyslip.load.scenario.Scenario;
import org.comfreyslip.load.scenario.ScenarioException;
import org.comfreyslip.load.scenario.TargetPlan;

/**
 * One run with its deployment, measurements and summary.
 */
final class ScenarioRun {

	/** Requests of the sample from which the mean number of tokens is computed. */
	private static final double SAMPLE_RATE = 100;

	private static final int AUDIT_LIMIT_MILLIS = 10_000;

	private final Scenario scenario;

	private final boolean embedded;

	private final Path directory;

	private Map<String, ProcessUsage> usageAtStart = Map.of();

	private Map<String, ProcessUsage> usageAtWarmUpEnd = Map.of();

	private Map<String, ProcessUsage> usageAtEnd = Map.of();

	private Map<String, Integer> linesAtWarmUpEnd = Map.of();

	private Map<String, Long> heapAtStart = Map.of();

	private Map<String, Long> heapAtEnd = Map.of();

	ScenarioRun(Scenario scenario, boolean embedded, Path directory) {
		this.scenario = scenario;
		this.embedded = embedded;
		this.directory = directory;
	}

	RunSummary run(String variation, String commit) {
		try (HttpTransport http = new HttpTransport()) {
			if (!this.embedded) {
				return run(http, this.scenario.target(), null, variation, commit);
			}
			try (EmbeddedDeployment deployment = EmbeddedDeployment.start(this.scenario,
					this.directory.resolve("settings"), http)) {
				return run(http, deployment.target(), deployment, variation, commit);
			}
		}
	}

	private RunSummary run(HttpTransport http, TargetPlan target, EmbeddedDeployment deployment, String variation,
			String commit) {
		if (target.daemons().isEmpty() || target.keys().isEmpty()) {
			throw new ScenarioException("[target] daemons and keys are needed without --embedded");
		}
		double bound = (deployment != null) ? this.scenario.topology().bound().tokensPerSecond() : 0;
		List<Arrival> arrivals = ArrivalSchedule.create(this.scenario, rate(target, bound), target.keys().size(),
				target.daemons().size());
		double loadAtStart = loadAverage();
		if (deployment != null) {
			this.usageAtStart = deployment.daemonUsage();
			this.heapAtStart = deployment.daemonHeapSince(Map.of());
		}
		RunResult result = new LoadRun(http, this.scenario, target, deployment).run(arrivals,
				() -> sampleWarmUpEnd(deployment), () -> sampleEnd(deployment));
		List<String> audit = (deployment != null) ? audit(http, deployment, result) : List.of();
		return new RunSummarizer(this.scenario).summarize(result, new RunContext(variation, commit, loadAtStart,
				loadAverage(), bound, offeredTokens(target, arrivals), audit, daemons()));
	}

	private double rate(TargetPlan target, double bound) {
		if (this.scenario.requestsPerSecond() > 0) {
			return this.scenario.requestsPerSecond();
		}
		if (bound <= 0) {
			throw new ScenarioException("bound-percent needs --embedded; set requests-per-second instead");
		}
		List<Arrival> sample = ArrivalSchedule.create(this.scenario, SAMPLE_RATE, 1, 1);
		double mean = (double) tokens(target, sample) / sample.size();
		return bound * this.scenario.boundPercent() / 100 / mean;
	}

	private long offeredTokens(TargetPlan target, List<Arrival> arrivals) {
		RunSummarizer summarizer = new RunSummarizer(this.scenario);
		return tokens(target, arrivals.stream().filter((one) -> summarizer.isMeasured(one.atNanos())).toList());
	}

	private static long tokens(TargetPlan target, List<Arrival> arrivals) {
		if (target.referenceLayers() == 0) {
			return 0;
		}
		return arrivals.stream()
			.filter((one) -> one.kind().isCompletion())
			.mapToLong((one) -> ReferenceText.of(target.referenceLayers(), one.prompt(), one.maxTokens()).size())
			.sum();
	}

	private void sampleWarmUpEnd(EmbeddedDeployment deployment) {
		if (deployment != null) {
			this.usageAtWarmUpEnd = deployment.daemonUsage();
			this.linesAtWarmUpEnd = deployment.daemonLines();
		}
	}

	private void sampleEnd(EmbeddedDeployment deployment) {
		if (deployment != null) {
			this.usageAtEnd = deployment.daemonUsage();
			this.heapAtEnd = deployment.daemonHeapSince(this.linesAtWarmUpEnd);
		}
	}

	private Map<String, ProcessSummary> daemons() {
		Map<String, ProcessSummary> daemons = new TreeMap<>();
		double seconds = this.scenario.durationSeconds() - this.scenario.warmUpSeconds();
		this.usageAtEnd.forEach((name, end) -> {
			double cpu = end.cpuSeconds() - this.usageAtWarmUpEnd.get(name).cpuSeconds();
			daemons.put(name, new ProcessSummary(cpu, cpu / seconds, this.usageAtStart.get(name).residentKilobytes(),
					end.residentKilobytes(), this.heapAtStart.get(name), this.heapAtEnd.get(name)));
		});
		return daemons;
	}

	private static List<String> audit(HttpTransport http, EmbeddedDeployment deployment, RunResult result) {
		List<String> keys = new ArrayList<>();
		for (String endpoint : deployment.endpointAddresses()) {
			HttpCall call = HttpCall.get(endpoint, "/records").within(AUDIT_LIMIT_MILLIS);
			JsonNode records = JsonCodec.read(http.send(call).join().body(), JsonNode.class).path("records");
			records.forEach((stamp) -> keys.add(keyOf(stamp.path("key").asText(""))));
		}
		return StampAudit.violations(result.observations(), keys);
	}

	// Daemons put the account and a dot before the caller's key.
	private static String keyOf(String scoped) {
		return scoped.substring(scoped.lastIndexOf('.') + 1);
	}

	private static double loadAverage() {
		return ManagementFactory.getOperatingSystemMXBean().getSystemLoadAverage();
	}

}
