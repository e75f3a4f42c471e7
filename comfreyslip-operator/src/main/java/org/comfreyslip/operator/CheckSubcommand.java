package org.comfreyslip.operator;

import java.util.List;

import org.comfreyslip.settings.OperatorTextChecker;
import org.comfreyslip.settings.SettingsFault;

/**
 * Checks a text without any connection.
 */
final class CheckSubcommand implements Subcommand {

	@Override
	public String name() {
		return "check";
	}

	@Override
	public String arguments() {
		return "FILE";
	}

	@Override
	public String summary() {
		return "list all faults of a text";
	}

	@Override
	public SubcommandKind kind() {
		return SubcommandKind.QUERY;
	}

	@Override
	public ExitCode run(Invocation invocation) {
		String file = invocation.arguments(1).get(0);
		List<SettingsFault> faults = OperatorTextChecker.check(file, TextFile.read(file, invocation.console()));
		Result result = new Result(faults.isEmpty(), faults);
		if (faults.isEmpty()) {
			invocation.result(result, List.of(file + ": no faults"));
			return ExitCode.OK;
		}
		invocation.result(result, faults.stream().map(SettingsFault::toString).toList());
		return ExitCode.INVALID_TEXT;
	}

	record Result(boolean valid, List<SettingsFault> faults) {
	}

}
