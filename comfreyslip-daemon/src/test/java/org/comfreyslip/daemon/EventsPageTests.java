package org.comfreyslip.daemon;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Arrays;
import java.util.List;

import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Guards against a page of events that lacks an event, describes one that does not exist
 * or states another level or message than the code logs.
 */
class EventsPageTests {

	private static final Path PAGE = Path.of("..", "docs", "events.md");

	private static final int CELLS_PER_ROW = 5;

	@Test
	void thePageListsExactlyTheEventsOfTheCode() throws IOException {
		List<String> expected = Arrays.stream(DaemonEvent.values())
			.map((event) -> "| `" + event.id() + "` | " + event.level() + " | " + event.format())
			.toList();
		assertThat(rows().stream().map(EventsPageTests::withoutExplanation)).containsExactlyElementsOf(expected);
	}

	@Test
	void eachEventHasAMeaningAndARemedy() throws IOException {
		assertThat(rows()).allSatisfy((row) -> {
			String[] cells = row.substring(2, row.length() - 2).split(" \\| ");
			assertThat(cells).hasSize(CELLS_PER_ROW).noneMatch(String::isBlank);
		});
	}

	private static List<String> rows() throws IOException {
		return Files.readAllLines(PAGE).stream().filter((line) -> line.startsWith("| `")).toList();
	}

	private static String withoutExplanation(String row) {
		String[] cells = row.split(" \\| ", CELLS_PER_ROW);
		return String.join(" | ", Arrays.asList(cells).subList(0, 3));
	}

}
