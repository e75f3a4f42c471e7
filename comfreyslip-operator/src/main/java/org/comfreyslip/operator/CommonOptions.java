package org.comfreyslip.operator;

import okhttp3.HttpUrl;
import org.apache.commons.cli.Option;
import org.apache.commons.cli.Options;

/**
 * Options of all subcommands.
 */
final class CommonOptions {

	static final String HELP = "help";

	static final String VERSION = "version";

	static final String JSON = "json";

	static final String DAEMON = "daemon";

	static final String LOG = "log";

	static final String KEY_FILE = "key-file";

	private CommonOptions() {
	}

	static Options create() {
		return new Options().addOption(Option.builder().longOpt(HELP).desc("print the usage and end").get())
			.addOption(Option.builder().longOpt(VERSION).desc("print the program's version and end").get())
			.addOption(Option.builder().longOpt(JSON).desc("print results as one JSON document").get())
			.addOption(withValue(DAEMON, "ADDRESS", "operators' address of a daemon (ip:port); repeatable"))
			.addOption(withValue(LOG, "ADDRESS", "address of the log service (ip:port)"))
			.addOption(withValue(KEY_FILE, "FILE", "file with the operator's bearer key for daemons"));
	}

	static Option withValue(String name, String argument, String description) {
		return Option.builder().longOpt(name).hasArg().argName(argument).desc(description).get();
	}

	/**
	 * Checks an address.
	 * @param option the option that has it
	 * @param address the IP address and port
	 * @return the address
	 */
	static String address(String option, String address) {
		HttpUrl url = HttpUrl.parse("http://" + address);
		if (url == null || !address.matches("([0-9.]+|\\[[0-9a-fA-F:.]+]):[0-9]+")) {
			throw new UsageException("--" + option + ": found " + address + "; allowed: an IP address and port");
		}
		return address;
	}

}
