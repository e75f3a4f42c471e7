package org.comfreyslip.load;

import java.io.IOException;
import java.io.PrintStream;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;

import org.apache.commons.cli.CommandLine;
import org.apache.commons.cli.Option;
import org.apache.commons.cli.Options;
import org.comfreyslip.load.slopes.SlopeProbe;
import org.comfreyslip.load.slopes.SlopeTable;

/**
 * Measures parts of the daemon at several sizes within this process.
 */
final class SlopesCommand implements LoadCommand {

	@Override
	public Options options() {
		return new Options()
			.addOption(Option.builder("p").longOpt("probe").hasArg().argName("NAME").desc("only this probe").get())
			.addOption(Option.builder("o").longOpt("output").hasArg().argName("FILE").desc("CSV file").get());
	}

	@Override
	public String usage() {
		return "slopes [--probe NAME] [--output FILE.csv]; probes: " + names();
	}

	@Override
	public int run(CommandLine line, PrintStream out) throws IOException {
		String only = line.getOptionValue("probe");
		if (only != null && !names().contains(only)) {
			out.println("unknown probe " + only + "; known: " + names());
			return ExitCode.USAGE;
		}
		List<String> csv = new ArrayList<>(List.of(SlopeTable.CSV_HEADER));
		SlopeTable.header().forEach(out::println);
		for (SlopeProbe probe : SlopeProbe.values()) {
			if (only == null || probe.key().equals(only)) {
				SlopeTable table = SlopeTable.measure(probe);
				table.lines().forEach(out::println);
				csv.addAll(table.csv());
			}
		}
		if (line.hasOption("output")) {
			Files.write(Path.of(line.getOptionValue("output")), csv);
		}
		return ExitCode.OK;
	}

	private static List<String> names() {
		return Arrays.stream(SlopeProbe.values()).map(SlopeProbe::key).toList();
	}

}
