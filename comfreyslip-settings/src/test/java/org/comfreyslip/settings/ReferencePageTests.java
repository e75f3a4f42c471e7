package org.comfreyslip.settings;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.stream.Stream;

import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Guards against a reference page of the settings that lacks a key, describes one that
 * does not exist, or states another default or range than the check applies. The
 * operators' command has a page and a test class of its own under the same name.
 */
class ReferencePageTests {

	private static final Path PAGE = Path.of("..", "docs", "configuration.md");

	@Test
	void thePageListsExactlyTheSectionsAndKeysOfTheCheck() throws IOException {
		List<String> expected = new ArrayList<>();
		for (SectionRule section : Stream
			.concat(OperatorTextSchema.SECTIONS.stream(), DaemonSettingsSchema.SECTIONS.stream())
			.toList()) {
			expected.add("### `" + section.headerTemplate() + "`" + (section.required() ? " (required)" : ""));
			section.keys().forEach((key) -> expected.add(row(key)));
		}
		assertThat(pageRows()).containsExactlyElementsOf(expected);
	}

	@Test
	void thePageStatesTheLimitsOfTheText() throws IOException {
		assertThat(Files.readString(PAGE)).contains("4 MB (" + IniDocument.MAX_BYTES + " bytes)")
			.contains("%,d lines".formatted(IniDocument.MAX_LINES))
			.contains("%,d faults".formatted(FaultList.MAX_FAULTS));
	}

	private static List<String> pageRows() throws IOException {
		return Files.readAllLines(PAGE)
			.stream()
			.filter((line) -> line.startsWith("### ") || line.startsWith("| `"))
			.map((line) -> line.startsWith("| ") ? withoutMeaning(line) : line)
			.toList();
	}

	private static String withoutMeaning(String row) {
		String[] cells = row.split(" \\| ", 4);
		return cells[0] + " | " + cells[1] + " | " + cells[2];
	}

	private static String row(KeyRule key) {
		String presence = key.required() ? "required" : "default: " + key.defaultText();
		return "| `" + key.name() + "` | " + presence + " | " + key.valueRule().allowed();
	}

}
