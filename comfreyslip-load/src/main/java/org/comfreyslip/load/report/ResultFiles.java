package org.comfreyslip.load.report;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardOpenOption;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;

import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.SerializationFeature;

/**
 * Results as JSON, one file per run, and as CSV, one line per run and kind of request.
 */
public final class ResultFiles {

	/** Header of the CSV file. */
	public static final String HEADER = "scenario,variation,seed,commit,kind,requests,done,first_p50,first_p95,"
			+ "first_p99,first_max,between_p50,between_p95,between_p99,between_max,whole_p50,whole_p95,whole_p99,"
			+ "whole_max,requests_per_second,tokens_per_second,ratio_to_bound,violations";

	private static final ObjectMapper MAPPER = new ObjectMapper().enable(SerializationFeature.INDENT_OUTPUT);

	private ResultFiles() {
	}

	/**
	 * Writes a result.
	 * @param directory the directory, created if absent
	 * @param summary the result
	 * @return the JSON file
	 * @throws IOException if a file cannot be written
	 */
	public static Path write(Path directory, RunSummary summary) throws IOException {
		Files.createDirectories(directory);
		Path csv = directory.resolve(summary.scenario() + ".csv");
		List<String> lines = new ArrayList<>();
		if (!Files.exists(csv)) {
			lines.add(HEADER);
		}
		lines.addAll(csvLines(summary));
		Files.write(csv, lines, StandardOpenOption.CREATE, StandardOpenOption.APPEND);
		Path json = directory.resolve(fileName(summary));
		Files.write(json, MAPPER.writeValueAsBytes(summary));
		return json;
	}

	/**
	 * Reads a result.
	 * @param file the JSON file
	 * @return the result
	 * @throws IOException if the file cannot be read or is no result
	 */
	public static RunSummary read(Path file) throws IOException {
		return MAPPER.readValue(Files.readAllBytes(file), RunSummary.class);
	}

	static List<String> csvLines(RunSummary summary) {
		List<String> lines = new ArrayList<>();
		summary.kinds().forEach((kind, own) -> {
			String start = String.join(",", summary.scenario(), summary.variation(), Long.toString(summary.seed()),
					summary.commit(), kind, Long.toString(own.requests()),
					Long.toString(own.answers().getOrDefault("DONE", 0L)));
			lines.add(String.join(",", start, csv(own.firstToken()), csv(own.betweenTokens()), csv(own.whole()),
					number(summary.requestsPerSecond()), number(summary.tokensPerSecond()),
					number(summary.ratioToBound()), Integer.toString(summary.violationCount())));
		});
		return lines;
	}

	private static String fileName(RunSummary summary) {
		String variation = summary.variation().replaceAll("[^A-Za-z0-9]+", "-");
		return summary.scenario() + (variation.isEmpty() ? "" : "-" + variation) + "-seed-" + summary.seed() + ".json";
	}

	private static String csv(LatencySummary latency) {
		return String.join(",", number(latency.p50()), number(latency.p95()), number(latency.p99()),
				number(latency.max()));
	}

	private static String number(double value) {
		return String.format(Locale.ROOT, "%.3f", value);
	}

}
