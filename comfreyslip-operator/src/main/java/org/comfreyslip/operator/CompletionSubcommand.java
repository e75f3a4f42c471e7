package org.comfreyslip.operator;

import java.util.List;
import java.util.Map;
import java.util.stream.Collectors;
import java.util.stream.Stream;

import org.apache.commons.cli.Option;

/**
 * Prints a completion script for a shell.
 */
final class CompletionSubcommand implements Subcommand {

	@Override
	public String name() {
		return "completion";
	}

	@Override
	public String arguments() {
		return "bash";
	}

	@Override
	public String summary() {
		return "print a completion script for the shell";
	}

	@Override
	public SubcommandKind kind() {
		return SubcommandKind.QUERY;
	}

	@Override
	public ExitCode run(Invocation invocation) {
		String shell = invocation.arguments(1).get(0);
		if (!shell.equals("bash")) {
			throw new UsageException("found " + shell + "; allowed: bash");
		}
		String script = script();
		invocation.result(Map.of("script", script), List.of(script));
		return ExitCode.OK;
	}

	private static String script() {
		String names = Subcommands.ALL.stream().map(Subcommand::name).collect(Collectors.joining(" "));
		String options = Stream
			.concat(CommonOptions.create().getOptions().stream(),
					Subcommands.ALL.stream().flatMap((subcommand) -> subcommand.options().getOptions().stream()))
			.map(Option::getLongOpt)
			.map((name) -> "--" + name)
			.distinct()
			.sorted()
			.collect(Collectors.joining(" "));
		return """
				_comfreyslip() {
					local word="${COMP_WORDS[COMP_CWORD]}"
					if [[ $word == -* ]]; then
						COMPREPLY=($(compgen -W "%s" -- "$word"))
					elif [[ $COMP_CWORD -eq 1 ]]; then
						COMPREPLY=($(compgen -W "%s" -- "$word"))
					else
						COMPREPLY=($(compgen -f -- "$word"))
					fi
				}
				complete -o filenames -F _comfreyslip comfreyslip""".formatted(options, names);
	}

}
