package org.comfreyslip.operator;

import java.util.List;

/**
 * Compares a text with the one in force.
 */
final class DiffSubcommand implements Subcommand {

	@Override
	public String name() {
		return "diff";
	}

	@Override
	public String arguments() {
		return "FILE";
	}

	@Override
	public String summary() {
		return "compare a text with the one in force";
	}

	@Override
	public SubcommandKind kind() {
		return SubcommandKind.QUERY;
	}

	@Override
	public ExitCode run(Invocation invocation) {
		String file = invocation.arguments(1).get(0);
		String text = TextFile.read(file, invocation.console());
		ConfigHistory history = invocation.log().read(-1);
		List<TextChange> changes = TextDiff.between(history.text(), text);
		invocation.console().note("compared with version " + history.number());
		invocation.result(new Result(history.number(), changes), changes.stream().map(TextChange::toString).toList());
		return ExitCode.OK;
	}

	record Result(long base, List<TextChange> changes) {
	}

}
