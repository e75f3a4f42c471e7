package org.comfreyslip.operator;

import java.util.ArrayList;
import java.util.List;

import org.apache.commons.cli.Option;
import org.apache.commons.cli.Options;

/**
 * Text of {@code --help}.
 */
final class UsageText {

	private UsageText() {
	}

	static List<String> all() {
		List<String> lines = new ArrayList<>();
		lines.add("usage: comfreyslip SUBCOMMAND [OPTIONS] [ARGUMENTS]");
		addSubcommands(lines, "commands (change the system):", SubcommandKind.COMMAND);
		addSubcommands(lines, "queries (only read):", SubcommandKind.QUERY);
		lines.add("common options:");
		addOptions(lines, CommonOptions.create());
		lines.add("exit codes:");
		for (ExitCode code : ExitCode.values()) {
			lines.add("  %d  %s".formatted(code.code(), code.meaning()));
		}
		return lines;
	}

	static List<String> of(Subcommand subcommand) {
		List<String> lines = new ArrayList<>();
		lines.add("usage: comfreyslip " + subcommand.name() + " [OPTIONS] " + subcommand.arguments());
		lines.add(subcommand.summary());
		lines.add("options:");
		addOptions(lines, subcommand.options());
		addOptions(lines, CommonOptions.create());
		return lines;
	}

	private static void addSubcommands(List<String> lines, String title, SubcommandKind kind) {
		lines.add(title);
		Subcommands.ALL.stream()
			.filter((subcommand) -> subcommand.kind() == kind)
			.forEach((subcommand) -> lines
				.add("  %-26s %s".formatted(subcommand.name() + " " + subcommand.arguments(), subcommand.summary())));
	}

	private static void addOptions(List<String> lines, Options options) {
		for (Option option : options.getOptions()) {
			String argument = option.hasArg() ? " " + option.getArgName() : "";
			lines.add("  %-26s %s".formatted("--" + option.getLongOpt() + argument, option.getDescription()));
		}
	}

}
