package org.comfreyslip.load.policy;

import java.io.IOException;
import java.io.PrintStream;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;

import org.apache.commons.cli.CommandLine;
import org.apache.commons.cli.DefaultParser;
import org.apache.commons.cli.Option;
import org.apache.commons.cli.Options;
import org.apache.commons.cli.ParseException;
import org.comfreyslip.routing.endpoint.EndpointPolicy;

/**
 * Compares the endpoint policies with 8 daemons and 40 engines, and measures how far
 * account limits are exceeded. Writes CSV files.
 */
public final class PolicyComparison {

	private static final int DAEMONS = 8;

	private static final int ENGINES = 40;

	private static final int[] LOAD_PERCENTS = { 50, 80, 95, 120 };

	private static final int[] DAEMON_COUNTS = { 8, 100, 390 };

	private static final int[] ACCOUNT_LIMITS = { 10, 100, 1_000 };

	private PolicyComparison() {
	}

	/**
	 * Runs the comparison.
	 * @param arguments {@code --seed}, {@code --seconds} and {@code --output}
	 * @throws IOException if a CSV file cannot be written
	 * @throws ParseException if an argument is invalid
	 */
	public static void main(String[] arguments) throws IOException, ParseException {
		Options options = new Options();
		options.addOption(Option.builder("s").longOpt("seed").hasArg().desc("seed, default 1").get());
		options.addOption(Option.builder("t").longOpt("seconds").hasArg().desc("simulated s, default 60").get());
		options.addOption(Option.builder("o").longOpt("output").hasArg().desc("directory of the CSV files").get());
		CommandLine line = new DefaultParser().parse(options, arguments);
		long seed = Long.parseLong(line.getOptionValue("seed", "1"));
		int seconds = Integer.parseInt(line.getOptionValue("seconds", "60"));
		Path output = Path.of(line.getOptionValue("output", "."));
		Files.createDirectories(output);
		System.out.println("seed " + seed + ", " + seconds + " s simulated per case");
		write(output.resolve("policies.csv"), comparePolicies(seed, seconds), System.out);
		write(output.resolve("over-grant.csv"), measureOverGrant(seed, seconds), System.out);
	}

	static List<String> comparePolicies(long seed, int seconds) {
		List<String> lines = new ArrayList<>(List.of(PolicyResult.HEADER));
		for (KindMix mix : KindMix.values()) {
			for (int percent : LOAD_PERCENTS) {
				for (EndpointPolicy policy : EndpointPolicy.values()) {
					PolicyCase settings = new PolicyCase(mix, policy, percent, DAEMONS, ENGINES, seconds, seed);
					lines.add(new QueueLoop(settings).run().toCsv());
				}
			}
		}
		return lines;
	}

	static List<String> measureOverGrant(long seed, int seconds) {
		List<String> lines = new ArrayList<>(List.of(OverGrantResult.HEADER));
		for (int daemons : DAEMON_COUNTS) {
			for (int limit : ACCOUNT_LIMITS) {
				lines.add(new OverGrantLoop(daemons, limit, false, seed).run(seconds).toCsv());
				lines.add(new OverGrantLoop(daemons, limit, true, seed).run(seconds).toCsv());
			}
		}
		return lines;
	}

	private static void write(Path file, List<String> lines, PrintStream out) throws IOException {
		Files.write(file, lines, StandardCharsets.UTF_8);
		lines.forEach(out::println);
	}

}
