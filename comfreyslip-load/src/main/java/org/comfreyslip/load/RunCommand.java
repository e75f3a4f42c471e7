package org.comfreyslip.load;

import java.io.IOException;
import java.io.PrintStream;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

import org.apache.commons.cli.CommandLine;
import org.apache.commons.cli.Option;
import org.apache.commons.cli.Options;
import org.comfreyslip.load.report.ResultFiles;
import org.comfreyslip.load.report.ResultTable;
import org.comfreyslip.load.report.RunSummary;
import org.comfreyslip.load.scenario.Scenario;
import org.comfreyslip.load.scenario.ScenarioException;
import org.comfreyslip.load.scenario.ScenarioParser;

/**
 * Runs a scenario, once per varied value and repeat.
 */
final class RunCommand implements LoadCommand {

	@Override
	public Options options() {
		return new Options().addOption(option("s", "scenario", "FILE", "the scenario, an INI file"))
			.addOption(Option.builder("e").longOpt("embedded").desc("start daemons and stand-ins").get())
			.addOption(option("n", "seed", "N", "seed of the first repeat, default from the scenario"))
			.addOption(option("r", "repeats", "N", "runs with seeds N, N+1 and so on, default 1"))
			.addOption(option("t", "set", "SECTION.KEY=VALUE", "replaces a value of the scenario"))
			.addOption(option("v", "vary", "SECTION.KEY=A,B", "one run per value"))
			.addOption(option("c", "commit", "ID", "git commit to record in the results"))
			.addOption(option("o", "output", "DIR", "directory of the results, default results"));
	}

	@Override
	public String usage() {
		return "run --scenario FILE [--embedded] [--seed N] [--repeats N] [--set SECTION.KEY=VALUE]... "
				+ "[--vary SECTION.KEY=A,B] [--commit ID] [--output DIR]";
	}

	@Override
	public int run(CommandLine line, PrintStream out) throws IOException {
		if (!line.hasOption("scenario")) {
			out.println("--scenario is missing; usage: " + usage());
			return ExitCode.USAGE;
		}
		Path directory = Path.of(line.getOptionValue("output", "results"));
		int repeats = Integer.parseInt(line.getOptionValue("repeats", "1"));
		List<RunSummary> results = new ArrayList<>();
		for (String value : variations(line)) {
			Scenario scenario = scenario(line, value);
			for (int i = 0; i < repeats; i++) {
				Scenario repeat = scenario.withSeed(seed(line, scenario) + i);
				RunSummary summary = new ScenarioRun(repeat, line.hasOption("embedded"), directory).run(value,
						line.getOptionValue("commit", "unknown"));
				out.println("wrote " + ResultFiles.write(directory, summary));
				summary.violations().forEach((violation) -> out.println("violation: " + violation));
				results.add(summary);
			}
		}
		ResultTable.lines(results).forEach(out::println);
		boolean clean = results.stream().allMatch((summary) -> summary.violationCount() == 0);
		return clean ? ExitCode.OK : ExitCode.VIOLATIONS;
	}

	static Map<String, String> overrides(String[] settings) {
		Map<String, String> overrides = new LinkedHashMap<>();
		for (String setting : settings) {
			int equals = setting.indexOf('=');
			if (equals < 0) {
				throw new ScenarioException("'" + setting + "' is not of the form section.key=value");
			}
			overrides.put(setting.substring(0, equals).strip(), setting.substring(equals + 1).strip());
		}
		return overrides;
	}

	private static List<String> variations(CommandLine line) {
		if (!line.hasOption("vary")) {
			return List.of("");
		}
		Map.Entry<String, String> vary = overrides(new String[] { line.getOptionValue("vary") }).entrySet()
			.iterator()
			.next();
		List<String> variations = new ArrayList<>();
		for (String value : vary.getValue().split(",")) {
			variations.add(vary.getKey() + "=" + value.strip());
		}
		return variations;
	}

	private static Scenario scenario(CommandLine line, String variation) throws IOException {
		String file = line.getOptionValue("scenario");
		List<String> settings = new ArrayList<>();
		if (line.hasOption("set")) {
			settings.addAll(List.of(line.getOptionValues("set")));
		}
		if (!variation.isEmpty()) {
			settings.add(variation);
		}
		return ScenarioParser.parse(file, Files.readString(Path.of(file)), overrides(settings.toArray(String[]::new)));
	}

	private static long seed(CommandLine line, Scenario scenario) {
		return line.hasOption("seed") ? Long.parseLong(line.getOptionValue("seed")) : scenario.seed();
	}

	private static Option option(String letter, String name, String argument, String text) {
		return Option.builder(letter).longOpt(name).hasArg().argName(argument).desc(text).get();
	}

}
