package org.comfreyslip.entry;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Arrays;
import java.util.List;

import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Tests for the operators' catalogue of {@link EntryEvent}. They guard against a
 * catalogue that lacks an event, or lists one that does not exist or has another level.
 */
class EntryEventsPageTests {

	private static final Path PAGE = Path.of("..", "docs", "entry-events.md");

	private static final int COLUMN_COUNT = 4;

	@Test
	void thePageListsExactlyTheEventsOfTheCode() throws IOException {
		List<String> expected = Arrays.stream(EntryEvent.values())
			.map((event) -> "| `CS-" + event.number() + " " + event.name() + "` | " + event.level())
			.sorted()
			.toList();
		assertThat(rows().stream().map((row) -> String.join(" | ", Arrays.asList(row.split(" \\| ")).subList(0, 2))))
			.containsExactlyElementsOf(expected);
	}

	@Test
	void eachEventHasAMeaningAndARemedy() throws IOException {
		assertThat(rows()).allSatisfy((row) -> {
			String[] cells = row.substring(2, row.length() - 2).split(" \\| ");
			assertThat(cells).hasSize(COLUMN_COUNT).noneMatch(String::isBlank);
		});
	}

	private static List<String> rows() throws IOException {
		return Files.readAllLines(PAGE).stream().filter((line) -> line.startsWith("| `")).sorted().toList();
	}

}
