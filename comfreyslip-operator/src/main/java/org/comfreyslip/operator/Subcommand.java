package org.comfreyslip.operator;

import org.apache.commons.cli.Options;

/**
 * One subcommand.
 */
public interface Subcommand {

	/**
	 * Returns the word that selects the subcommand.
	 * @return the name
	 */
	String name();

	/**
	 * Returns the positional arguments for the usage line.
	 * @return the arguments, such as {@code FILE}, or an empty string
	 */
	String arguments();

	/**
	 * Returns a one-line description.
	 * @return a phrase without a final period
	 */
	String summary();

	/**
	 * Returns whether the subcommand changes the system.
	 * @return command or query
	 */
	SubcommandKind kind();

	/**
	 * Returns the options besides the common ones.
	 * @return the options, possibly none
	 */
	default Options options() {
		return new Options();
	}

	/**
	 * Runs the subcommand.
	 * @param invocation arguments, connections and output
	 * @return the exit code
	 */
	ExitCode run(Invocation invocation);

}
