package org.comfreyslip.standins;

import java.util.List;

import org.apache.commons.cli.CommandLine;
import org.apache.commons.cli.DefaultParser;
import org.apache.commons.cli.Option;
import org.apache.commons.cli.Options;
import org.apache.commons.cli.ParseException;

/**
 * Parsed options of one stand-in.
 */
public final class StandinArguments {

	private final CommandLine line;

	private StandinArguments(CommandLine line) {
		this.line = line;
	}

	/**
	 * Parses options.
	 * @param options the options that the kind knows
	 * @param arguments the arguments
	 * @return the parsed options
	 * @throws IllegalArgumentException if an argument is unknown or has no value
	 */
	public static StandinArguments parse(Options options, String... arguments) {
		try {
			CommandLine line = new DefaultParser(false).parse(options, arguments);
			List<String> rest = line.getArgList();
			if (!rest.isEmpty()) {
				throw new IllegalArgumentException("unknown argument " + rest.get(0) + "; see --help");
			}
			return new StandinArguments(line);
		}
		catch (ParseException ex) {
			throw new IllegalArgumentException(ex.getMessage() + "; see --help", ex);
		}
	}

	/**
	 * Creates an option with a value.
	 * @param name the long name
	 * @param value name of the value in the help text
	 * @param description text of the help
	 * @return the option
	 */
	public static Option option(String name, String value, String description) {
		return Option.builder().longOpt(name).hasArg().argName(value).desc(description).get();
	}

	/**
	 * Creates an option without a value.
	 * @param name the long name
	 * @param description text of the help
	 * @return the option
	 */
	public static Option flag(String name, String description) {
		return Option.builder().longOpt(name).desc(description).get();
	}

	/**
	 * Returns whether an option without a value is present.
	 * @param name the long name
	 * @return {@code true} if it is
	 */
	public boolean has(String name) {
		return this.line.hasOption(name);
	}

	/**
	 * Returns the value of an option.
	 * @param name the long name
	 * @param absent the value if it is absent
	 * @return the text
	 */
	public String text(String name, String absent) {
		return this.line.getOptionValue(name, absent);
	}

	/**
	 * Returns the value of a numeric option.
	 * @param name the long name
	 * @param absent the value if it is absent
	 * @return the number, not negative
	 * @throws IllegalArgumentException if the value is not such a number
	 */
	public int number(String name, int absent) {
		String value = text(name, Integer.toString(absent));
		try {
			int number = Integer.parseInt(value);
			if (number >= 0) {
				return number;
			}
		}
		catch (NumberFormatException ex) {
			// Reported below together with negative numbers.
		}
		throw new IllegalArgumentException("--" + name + " must be a number from 0, not " + value);
	}

}
