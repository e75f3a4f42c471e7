package org.comfreyslip.load;

import java.io.IOException;
import java.io.PrintStream;

import org.apache.commons.cli.CommandLine;
import org.apache.commons.cli.Options;

/**
 * A subcommand of the load tool.
 */
interface LoadCommand {

	/**
	 * Returns the options.
	 * @return the options
	 */
	Options options();

	/**
	 * Returns the form of the command line after the subcommand.
	 * @return the usage
	 */
	String usage();

	/**
	 * Runs the command.
	 * @param line the parsed arguments
	 * @param out where results are printed
	 * @return the exit code
	 * @throws IOException if a file cannot be read or written
	 */
	int run(CommandLine line, PrintStream out) throws IOException;

}
