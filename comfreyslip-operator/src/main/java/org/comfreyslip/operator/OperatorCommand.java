package org.comfreyslip.operator;

import java.util.List;
import java.util.Optional;
import java.util.stream.Stream;

import org.apache.commons.cli.CommandLine;
import org.apache.commons.cli.DefaultParser;
import org.apache.commons.cli.Options;
import org.apache.commons.cli.ParseException;
import org.comfreyslip.coordination.CodedException;

/**
 * Parses the arguments and runs the subcommand that they name.
 */
public final class OperatorCommand {

	private final Console console;

	private final Ticker ticker;

	/**
	 * Creates the command.
	 * @param console input and output
	 * @param ticker the source of time for polling
	 */
	public OperatorCommand(Console console, Ticker ticker) {
		this.console = console;
		this.ticker = ticker;
	}

	/**
	 * Runs the command. Errors are printed, not thrown.
	 * @param arguments the program's arguments
	 * @return the exit code
	 */
	public ExitCode run(List<String> arguments) {
		boolean json = arguments.contains("--" + CommonOptions.JSON);
		try {
			return dispatch(arguments);
		}
		catch (UsageException | ParseException ex) {
			return failed(json, ExitCode.USAGE, ex.getMessage());
		}
		catch (CodedException ex) {
			return failed(json, ExitCode.of(ex.code()), ex.getMessage());
		}
	}

	private ExitCode dispatch(List<String> arguments) throws ParseException {
		CommandLine leading = parse(CommonOptions.create(), arguments, true);
		List<String> rest = leading.getArgList();
		if (leading.hasOption(CommonOptions.VERSION)) {
			this.console.out().println("comfreyslip " + programVersion());
			return ExitCode.OK;
		}
		if (rest.isEmpty() && leading.hasOption(CommonOptions.HELP)) {
			UsageText.all().forEach(this.console.out()::println);
			return ExitCode.OK;
		}
		if (rest.isEmpty()) {
			throw new UsageException("no subcommand is given");
		}
		Subcommand subcommand = Subcommands.find(rest.get(0))
			.orElseThrow(() -> new UsageException("unknown subcommand " + rest.get(0)));
		List<String> before = arguments.subList(0, arguments.size() - rest.size());
		return run(subcommand, Stream.concat(before.stream(), rest.stream().skip(1)).toList());
	}

	private ExitCode run(Subcommand subcommand, List<String> arguments) throws ParseException {
		Options options = CommonOptions.create();
		subcommand.options().getOptions().forEach(options::addOption);
		CommandLine line = parse(options, arguments, false);
		if (line.hasOption(CommonOptions.HELP)) {
			UsageText.of(subcommand).forEach(this.console.out()::println);
			return ExitCode.OK;
		}
		try (Invocation invocation = new Invocation(line, this.console, this.ticker)) {
			return subcommand.run(invocation);
		}
	}

	private ExitCode failed(boolean json, ExitCode exitCode, String message) {
		if (json) {
			this.console.result(true, new Failure(new Cause(exitCode.name(), message, exitCode.remedy())), List.of());
		}
		else {
			this.console.note(message);
			this.console.note("remedy: " + exitCode.remedy());
		}
		return exitCode;
	}

	private static CommandLine parse(Options options, List<String> arguments, boolean stopAtSubcommand)
			throws ParseException {
		return DefaultParser.builder()
			.setAllowPartialMatching(false)
			.get()
			.parse(options, arguments.toArray(String[]::new), stopAtSubcommand);
	}

	private static String programVersion() {
		return Optional.ofNullable(OperatorCommand.class.getPackage().getImplementationVersion()).orElse("development");
	}

	record Failure(Cause error) {
	}

	record Cause(String code, String message, String remedy) {
	}

}
