package org.comfreyslip.load;

import java.io.IOException;
import java.io.PrintStream;
import java.util.Arrays;
import java.util.Map;
import java.util.TreeMap;

import org.apache.commons.cli.DefaultParser;
import org.apache.commons.cli.Option;
import org.apache.commons.cli.Options;
import org.apache.commons.cli.ParseException;
import org.comfreyslip.load.scenario.ScenarioException;

/**
 * The load tool. Exit codes: 0 for success, 1 if a run found violations, 2 for invalid
 * arguments, 3 for files that cannot be read, used or written, 4 if a run could not be
 * carried out.
 */
public final class LoadMain {

	private static final Map<String, LoadCommand> COMMANDS = new TreeMap<>(Map.of("run", new RunCommand(), "compare",
			new CompareCommand(), "plot", new PlotCommand(), "slopes", new SlopesCommand()));

	private LoadMain() {
	}

	/**
	 * Runs a subcommand.
	 * @param arguments the subcommand and its options
	 */
	public static void main(String[] arguments) {
		System.exit(run(arguments, System.out, System.err));
	}

	static int run(String[] arguments, PrintStream out, PrintStream err) {
		String first = (arguments.length > 0) ? arguments[0] : "";
		if (first.equals("--help") || first.equals("-h")) {
			printHelp(out);
			return ExitCode.OK;
		}
		if (first.equals("--version") || first.equals("-V")) {
			String version = LoadMain.class.getPackage().getImplementationVersion();
			out.println("comfreyslip-load " + ((version != null) ? version : "development"));
			return ExitCode.OK;
		}
		LoadCommand command = COMMANDS.get(first);
		if (command == null) {
			err.println("unknown subcommand '" + first + "'; known: " + COMMANDS.keySet() + "; see --help");
			return ExitCode.USAGE;
		}
		return run(command, Arrays.copyOfRange(arguments, 1, arguments.length), out, err);
	}

	private static int run(LoadCommand command, String[] arguments, PrintStream out, PrintStream err) {
		try {
			Options options = command.options();
			options.addOption(Option.builder("h").longOpt("help").desc("print this help").get());
			if (Arrays.asList(arguments).contains("--help") || Arrays.asList(arguments).contains("-h")) {
				printHelp(command, out);
				return ExitCode.OK;
			}
			return command.run(new DefaultParser().parse(options, arguments), out);
		}
		catch (ParseException | NumberFormatException ex) {
			err.println("invalid arguments: " + ex.getMessage() + "; usage: " + command.usage());
			return ExitCode.USAGE;
		}
		catch (ScenarioException | IOException ex) {
			err.println(ex.getMessage());
			return ExitCode.FILES;
		}
		catch (RuntimeException ex) {
			err.println("the run could not be carried out: " + ex);
			return ExitCode.RUN_FAILED;
		}
	}

	private static void printHelp(PrintStream out) {
		out.println("usage: comfreyslip-load run|compare|plot|slopes [options], or --help, --version");
		COMMANDS.values().forEach((command) -> printHelp(command, out));
		out.println();
		out.println("exit codes: 0 success, 1 violations found, 2 invalid arguments, 3 unusable file, 4 run failed");
	}

	private static void printHelp(LoadCommand command, PrintStream out) {
		out.println();
		out.println(command.usage());
		command.options().getOptions().forEach((option) -> {
			String argument = option.hasArg() ? " <" + option.getArgName() + ">" : "";
			out.println(String.format("  %-28s%s", "--" + option.getLongOpt() + argument, option.getDescription()));
		});
	}

}
