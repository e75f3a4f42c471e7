package org.comfreyslip.operator;

import java.util.List;

import org.comfreyslip.coordination.CodedException;
import org.comfreyslip.coordination.ErrorCode;
import org.comfreyslip.coordination.digest.Sha256;

/**
 * Prints an accepted text.
 */
final class ShowSubcommand implements Subcommand {

	@Override
	public String name() {
		return "show";
	}

	@Override
	public String arguments() {
		return "[VERSION]";
	}

	@Override
	public String summary() {
		return "print the text in force, or a former one";
	}

	@Override
	public SubcommandKind kind() {
		return SubcommandKind.QUERY;
	}

	@Override
	public ExitCode run(Invocation invocation) {
		List<String> arguments = invocation.arguments(0, 1);
		long wanted = arguments.isEmpty() ? -1 : Invocation.toNumber("VERSION", arguments.get(0));
		ConfigHistory history = invocation.log().read(wanted);
		long number = arguments.isEmpty() ? history.number() : wanted;
		if (number == 0 || history.number() < number) {
			throw new CodedException(ErrorCode.NOT_FOUND,
					"version " + number + " was never accepted; the version in force is " + history.number());
		}
		String text = arguments.isEmpty() ? history.text() : history.keptText()
			.orElseThrow(() -> new CodedException(ErrorCode.NOT_FOUND, "the log no longer holds version " + number));
		String digest = Sha256.ofText(text);
		invocation.console().note("version " + BaseVersion.print(number, digest) + " sha256 " + digest);
		invocation.result(new Result(number, digest, text), List.of(withoutLastLineEnd(text)));
		return ExitCode.OK;
	}

	private static String withoutLastLineEnd(String text) {
		return text.endsWith("\n") ? text.substring(0, text.length() - 1) : text;
	}

	record Result(long number, String digest, String text) {
	}

}
