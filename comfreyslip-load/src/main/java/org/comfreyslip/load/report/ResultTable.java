package org.comfreyslip.load.report;

import java.util.ArrayList;
import java.util.List;
import java.util.Locale;

/**
 * Results side by side as Markdown tables.
 */
public final class ResultTable {

	private ResultTable() {
	}

	/**
	 * Formats results.
	 * @param results the results
	 * @return the lines of the tables
	 */
	public static List<String> lines(List<RunSummary> results) {
		List<String> lines = new ArrayList<>(List.of(
				"| Run | Kind | Requests | Answers | First token ms p50/p95/p99/max | Between tokens ms | Whole ms |",
				"|---|---|---|---|---|---|---|"));
		results.forEach((run) -> run.kinds().forEach((kind, own) -> lines.add(kindLine(run, kind, own))));
		lines.addAll(List.of("",
				"| Run | Requests/s | Tokens/s | Offered tokens/s | Bound | Ratio | Open streams | Late ms | Load | "
						+ "Violations |",
				"|---|---|---|---|---|---|---|---|---|---|"));
		results.forEach((run) -> lines.add(runLine(run)));
		lines.addAll(List.of("",
				"| Run | Daemon | Cores | CPU s | RSS start MB | RSS end MB | Heap start MB | " + "Heap end MB |",
				"|---|---|---|---|---|---|---|---|"));
		results.forEach((run) -> run.daemons().forEach((name, use) -> lines.add(daemonLine(run, name, use))));
		if (results.stream().anyMatch((run) -> !run.recoveries().isEmpty())) {
			lines.addAll(List.of("", "| Run | Faults | Lost streams | Next token ms | 90% of the rate ms |",
					"|---|---|---|---|---|"));
			results.forEach((run) -> lines.add(recoveryLine(run)));
		}
		return lines;
	}

	private static String kindLine(RunSummary run, String kind, KindSummary own) {
		return row(name(run), kind, own.requests(), own.answers(), latency(own.firstToken()),
				latency(own.betweenTokens()), latency(own.whole()));
	}

	private static String runLine(RunSummary run) {
		return row(name(run), number(run.requestsPerSecond()), number(run.tokensPerSecond()),
				number(run.offeredTokensPerSecond()), number(run.boundTokensPerSecond()),
				String.format(Locale.ROOT, "%.3f", run.ratioToBound()), number(run.openStreams()),
				number(run.latenessMaxMillis()), number(run.loadAverageStart()) + "-" + number(run.loadAverageEnd()),
				run.violationCount());
	}

	private static String daemonLine(RunSummary run, String name, ProcessSummary use) {
		return row(name(run), name, String.format(Locale.ROOT, "%.2f", use.cores()), number(use.cpuSeconds()),
				use.residentStartKilobytes() / 1_024, use.residentEndKilobytes() / 1_024, use.heapStartMegabytes(),
				use.heapEndMegabytes());
	}

	private static String recoveryLine(RunSummary run) {
		int lost = run.recoveries().stream().mapToInt(Recovery::lostStreams).sum();
		int open = run.recoveries().stream().mapToInt(Recovery::openStreams).sum();
		return row(name(run), run.recoveries().size(), lost + " of " + open, latency(run.firstSuccess()),
				latency(run.rateRestored()));
	}

	private static String name(RunSummary run) {
		return run.scenario() + (run.variation().isEmpty() ? "" : " " + run.variation()) + " #" + run.seed();
	}

	private static String latency(LatencySummary latency) {
		return number(latency.p50()) + " / " + number(latency.p95()) + " / " + number(latency.p99()) + " / "
				+ number(latency.max());
	}

	private static String number(double value) {
		return String.format(Locale.ROOT, "%.1f", value);
	}

	private static String row(Object... cells) {
		StringBuilder line = new StringBuilder("|");
		for (Object cell : cells) {
			line.append(' ').append(cell).append(" |");
		}
		return line.toString();
	}

}
