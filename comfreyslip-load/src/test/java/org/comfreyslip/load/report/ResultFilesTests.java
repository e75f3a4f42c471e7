package org.comfreyslip.load.report;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.Map;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Guards against results that cannot be read back and CSV lines that do not fit their
 * header.
 */
class ResultFilesTests {

	@Test
	void aResultIsReadBackAsWritten(@TempDir Path directory) throws IOException {
		RunSummary summary = summary("load.seed=1");
		assertThat(ResultFiles.read(ResultFiles.write(directory, summary))).isEqualTo(summary);
	}

	@Test
	void csvLinesHaveTheColumnsOfTheHeader(@TempDir Path directory) throws IOException {
		ResultFiles.write(directory, summary("a=1"));
		ResultFiles.write(directory, summary("a=2"));
		List<String> lines = Files.readAllLines(directory.resolve("s.csv"));
		assertThat(lines).hasSize(3).startsWith(ResultFiles.HEADER);
		assertThat(lines).allMatch((line) -> line.split(",").length == ResultFiles.HEADER.split(",").length);
	}

	@Test
	void aPlotOverRepeatsIsWritten(@TempDir Path directory) throws IOException {
		Path file = directory.resolve("plot.png");
		ResultPlot.write(List.of(summary("a=1"), summary("a=1"), summary("a=2")), "streamed", ResultPlot.Measure.FIRST,
				file);
		assertThat(Files.size(file)).isPositive();
	}

	private static RunSummary summary(String variation) {
		LatencySummary latency = new LatencySummary(3, 1, 2, 3, 4);
		return new RunSummary("s", variation, 1, "c", "settings", 1, 2, 3, 4, 5, 6, 7, 0.5, 8,
				Map.of("streamed", new KindSummary(3, Map.of("DONE", 3L), Map.of(), 9, latency, latency, latency)), 0,
				List.of(), List.of(new Recovery("f", "e", 1, 0, 5, 6)), latency, latency,
				Map.of("daemon-1", new ProcessSummary(1, 0.1, 100, 200, 7, 8)));
	}

}
