package org.comfreyslip.operator;

import java.util.ArrayList;
import java.util.List;

import org.comfreyslip.settings.OperatorText;
import org.comfreyslip.settings.OperatorTextChecker;
import org.comfreyslip.settings.SettingsFault;

/**
 * Reports the faults of a text, its entries without effect, and its differences from the
 * version in force if the log is named. Sends nothing.
 */
final class ValidateSubcommand implements Subcommand {

	@Override
	public String name() {
		return "validate";
	}

	@Override
	public String arguments() {
		return "FILE";
	}

	@Override
	public String summary() {
		return "list faults, entries without effect and differences of a text before it is proposed";
	}

	@Override
	public SubcommandKind kind() {
		return SubcommandKind.QUERY;
	}

	@Override
	public ExitCode run(Invocation invocation) {
		String file = invocation.arguments(1).get(0);
		String text = TextFile.read(file, invocation.console());
		List<SettingsFault> faults = OperatorTextChecker.check(file, text);
		List<TextWarning> warnings = faults.isEmpty() ? TextWarnings.of(OperatorText.parse(file, text)) : List.of();
		List<TextChange> changes = invocation.option(CommonOptions.LOG)
			.map((address) -> changes(invocation, text))
			.orElse(List.of());
		List<String> lines = new ArrayList<>();
		faults.forEach((fault) -> lines.add("error: " + fault));
		warnings.forEach((warning) -> lines.add("warning: " + warning));
		changes.forEach((change) -> lines.add("difference: " + change));
		lines.add(file + ": " + faults.size() + " errors, " + warnings.size() + " warnings, " + changes.size()
				+ " differences");
		invocation.result(new Result(faults, warnings, changes), lines);
		if (!faults.isEmpty()) {
			return ExitCode.ERRORS;
		}
		return warnings.isEmpty() ? ExitCode.OK : ExitCode.WARNINGS;
	}

	private static List<TextChange> changes(Invocation invocation, String text) {
		ConfigHistory history = invocation.log().read(-1);
		invocation.console().note("compared with version " + history.number());
		return TextDiff.between(history.text(), text);
	}

	record Result(List<SettingsFault> errors, List<TextWarning> warnings, List<TextChange> differences) {
	}

}
