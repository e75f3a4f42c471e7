package org.comfreyslip.load.report;

import java.io.IOException;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.function.Function;
import java.util.function.ToDoubleFunction;

import org.knowm.xchart.BitmapEncoder;
import org.knowm.xchart.CategoryChart;
import org.knowm.xchart.CategoryChartBuilder;

/**
 * Plots percentiles of several runs. Runs that differ only in the seed are repeats: the
 * bar shows their median, the error bar half of the range from the least to the largest.
 */
public final class ResultPlot {

	private static final int WIDTH = 1_200;

	private static final int HEIGHT = 700;

	private ResultPlot() {
	}

	/** A latency that can be plotted. */
	public enum Measure {

		/** The time to the first token. */
		FIRST(KindSummary::firstToken),

		/** The time between tokens. */
		BETWEEN(KindSummary::betweenTokens),

		/** The time to the end of the answer. */
		WHOLE(KindSummary::whole);

		private final Function<KindSummary, LatencySummary> latency;

		Measure(Function<KindSummary, LatencySummary> latency) {
			this.latency = latency;
		}

	}

	/**
	 * Writes a plot.
	 * @param results the results
	 * @param kind the kind of request
	 * @param measure the latency
	 * @param file the PNG file
	 * @throws IOException if the file cannot be written
	 */
	public static void write(List<RunSummary> results, String kind, Measure measure, Path file) throws IOException {
		Map<String, List<LatencySummary>> groups = new LinkedHashMap<>();
		for (RunSummary run : results) {
			if (run.kinds().containsKey(kind)) {
				String name = (run.scenario() + " " + run.variation()).strip();
				groups.computeIfAbsent(name, (absent) -> new ArrayList<>())
					.add(measure.latency.apply(run.kinds().get(kind)));
			}
		}
		if (groups.isEmpty()) {
			throw new IOException("no result has requests of kind " + kind);
		}
		CategoryChart chart = new CategoryChartBuilder().width(WIDTH)
			.height(HEIGHT)
			.title(kind + ", " + measure.name().toLowerCase(Locale.ROOT) + " (ms, median of repeats, range)")
			.yAxisTitle("ms")
			.build();
		addSeries(chart, "p50", groups, LatencySummary::p50);
		addSeries(chart, "p95", groups, LatencySummary::p95);
		addSeries(chart, "p99", groups, LatencySummary::p99);
		addSeries(chart, "max", groups, LatencySummary::max);
		BitmapEncoder.saveBitmap(chart, file.toString(), BitmapEncoder.BitmapFormat.PNG);
	}

	private static void addSeries(CategoryChart chart, String name, Map<String, List<LatencySummary>> groups,
			ToDoubleFunction<LatencySummary> value) {
		List<Double> medians = new ArrayList<>();
		List<Double> spreads = new ArrayList<>();
		groups.values().forEach((repeats) -> {
			double[] sorted = repeats.stream().mapToDouble(value).sorted().toArray();
			medians.add(sorted[sorted.length / 2]);
			spreads.add((sorted[sorted.length - 1] - sorted[0]) / 2);
		});
		chart.addSeries(name, List.copyOf(groups.keySet()), medians, spreads);
	}

}
