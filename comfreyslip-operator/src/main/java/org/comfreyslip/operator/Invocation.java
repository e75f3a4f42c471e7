package org.comfreyslip.operator;

import java.util.Arrays;
import java.util.List;
import java.util.Optional;

import org.apache.commons.cli.CommandLine;
import org.comfreyslip.clients.HttpTransport;
import org.comfreyslip.clients.log.LogClient;

/**
 * One run of a subcommand: its arguments, connections and output.
 */
public final class Invocation implements AutoCloseable {

	/** Time limit of a call to the log, long enough for texts of 4 MB on a slow link. */
	private static final int LOG_LIMIT_MILLIS = 15_000;

	private final CommandLine line;

	private final Console console;

	private final Ticker ticker;

	private final HttpTransport platform = new HttpTransport();

	/**
	 * Creates an invocation.
	 * @param line the arguments after the subcommand's name
	 * @param console input and output
	 * @param ticker the source of time
	 */
	public Invocation(CommandLine line, Console console, Ticker ticker) {
		this.line = line;
		this.console = console;
		this.ticker = ticker;
	}

	Console console() {
		return this.console;
	}

	Ticker ticker() {
		return this.ticker;
	}

	/**
	 * Prints a result as JSON or as text.
	 * @param value the result for JSON
	 * @param lines the result as text
	 */
	void result(Object value, List<String> lines) {
		this.console.result(this.line.hasOption(CommonOptions.JSON), value, lines);
	}

	/**
	 * Returns the positional arguments, whose number must be exact.
	 * @param count the number
	 * @return the arguments
	 */
	List<String> arguments(int count) {
		return arguments(count, count);
	}

	/**
	 * Returns the positional arguments.
	 * @param min the smallest number
	 * @param max the largest number
	 * @return the arguments
	 */
	List<String> arguments(int min, int max) {
		List<String> arguments = this.line.getArgList();
		if (arguments.size() < min || arguments.size() > max) {
			throw new UsageException("found " + arguments.size() + " arguments; allowed: "
					+ ((min == max) ? String.valueOf(min) : min + " to " + max));
		}
		return arguments;
	}

	Optional<String> option(String name) {
		return Optional.ofNullable(this.line.getOptionValue(name));
	}

	/**
	 * Returns an option's whole number.
	 * @param name the option
	 * @return the number, at least 0, or empty without the option
	 */
	Optional<Long> number(String name) {
		return option(name).map((value) -> toNumber("--" + name, value));
	}

	/**
	 * Converts an argument to a whole number.
	 * @param what the argument's name for the message
	 * @param value the argument
	 * @return the number, at least 0
	 */
	static long toNumber(String what, String value) {
		if (!value.matches("[0-9]{1,18}")) {
			throw new UsageException(what + ": found " + value + "; allowed: a whole number");
		}
		return Long.parseLong(value);
	}

	/**
	 * Returns the daemons that the options name.
	 * @return the daemons, possibly none
	 */
	List<DaemonApi> daemons() {
		String[] addresses = this.line.getOptionValues(CommonOptions.DAEMON);
		if (addresses == null) {
			return List.of();
		}
		Optional<String> key = option(CommonOptions.KEY_FILE).map(this::readKey);
		return Arrays.stream(addresses)
			.map((address) -> (DaemonApi) new HttpDaemonApi(this.platform,
					CommonOptions.address(CommonOptions.DAEMON, address), key))
			.toList();
	}

	private String readKey(String file) {
		String key = TextFile.read(file, this.console).strip();
		if (!key.matches("[!-~]+")) {
			throw new UsageException("--" + CommonOptions.KEY_FILE + ": " + file
					+ " has to contain one key of printable ASCII characters without blanks");
		}
		return key;
	}

	/**
	 * Returns the daemons that the options name.
	 * @return at least one daemon
	 */
	List<DaemonApi> requiredDaemons() {
		List<DaemonApi> daemons = daemons();
		if (daemons.isEmpty()) {
			throw new UsageException("name at least one daemon with --daemon ADDRESS");
		}
		return daemons;
	}

	/**
	 * Returns the configuration stream of the log that the options name.
	 * @return the stream
	 */
	ConfigHistoryReader log() {
		String address = option(CommonOptions.LOG)
			.orElseThrow(() -> new UsageException("name the log service with --log ADDRESS"));
		LogClient client = new LogClient(this.platform, CommonOptions.address(CommonOptions.LOG, address),
				LOG_LIMIT_MILLIS);
		return new ConfigHistoryReader(client);
	}

	@Override
	public void close() {
		this.platform.close();
	}

}
