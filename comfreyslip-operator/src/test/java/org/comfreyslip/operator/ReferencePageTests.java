package org.comfreyslip.operator;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;

import org.apache.commons.cli.Option;
import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Guards against scripts written for exit codes, subcommands or options that the command
 * does not have.
 */
class ReferencePageTests {

	private static final Path PAGE = Path.of("..", "docs", "operator-command.md");

	@Test
	void thePageListsExactlyTheSubcommandsOptionsAndExitCodes() throws IOException {
		List<String> expected = new ArrayList<>();
		Subcommands.ALL.forEach(
				(subcommand) -> expected.add("| `" + (subcommand.name() + " " + subcommand.arguments()).strip() + "` | "
						+ subcommand.kind().name().toLowerCase(Locale.ROOT) + " | " + subcommand.summary() + " |"));
		CommonOptions.create().getOptions().forEach((option) -> expected.add(row(option, "all")));
		Subcommands.ALL.forEach((subcommand) -> subcommand.options()
			.getOptions()
			.forEach((option) -> expected.add(row(option, "`" + subcommand.name() + "`"))));
		for (ExitCode code : ExitCode.values()) {
			expected.add("| " + code.code() + " | `" + code.name() + "` | " + code.meaning() + " |");
		}
		List<String> rows = Files.readAllLines(PAGE)
			.stream()
			.filter((line) -> line.startsWith("| `") || line.matches("\\| [0-9].*"))
			.toList();
		assertThat(rows).containsExactlyInAnyOrderElementsOf(expected);
	}

	@Test
	void thePageStatesTheSettlingTime() throws IOException {
		assertThat(Files.readString(PAGE)).contains("up to " + ProposalSettler.SETTLE_MILLIS / 1_000 + " s");
	}

	private static String row(Option option, String owner) {
		String argument = option.hasArg() ? " " + option.getArgName() : "";
		return "| `--" + option.getLongOpt() + argument + "` | " + owner + " | " + option.getDescription() + " |";
	}

}
