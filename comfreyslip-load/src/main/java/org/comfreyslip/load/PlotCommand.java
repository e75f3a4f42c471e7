package org.comfreyslip.load;

import java.io.IOException;
import java.io.PrintStream;
import java.nio.file.Path;
import java.util.Arrays;
import java.util.Locale;

import org.apache.commons.cli.CommandLine;
import org.apache.commons.cli.Option;
import org.apache.commons.cli.Options;
import org.comfreyslip.load.report.ResultPlot;

/**
 * Plots percentiles of results.
 */
final class PlotCommand implements LoadCommand {

	@Override
	public Options options() {
		return new Options()
			.addOption(Option.builder("k").longOpt("kind").hasArg().argName("KIND").desc("default streamed").get())
			.addOption(Option.builder("m")
				.longOpt("measure")
				.hasArg()
				.argName("MEASURE")
				.desc("first (default), between or whole")
				.get())
			.addOption(Option.builder("o").longOpt("output").hasArg().argName("FILE").desc("PNG file").get());
	}

	@Override
	public String usage() {
		return "plot [--kind KIND] [--measure first|between|whole] --output FILE.png RESULT.json...";
	}

	@Override
	public int run(CommandLine line, PrintStream out) throws IOException {
		if (line.getArgList().isEmpty() || !line.hasOption("output")) {
			out.println("results or --output missing; usage: " + usage());
			return ExitCode.USAGE;
		}
		String measure = line.getOptionValue("measure", "first").toUpperCase(Locale.ROOT);
		Path file = Path.of(line.getOptionValue("output"));
		if (Arrays.stream(ResultPlot.Measure.values()).noneMatch((known) -> known.name().equals(measure))) {
			out.println("unknown measure; usage: " + usage());
			return ExitCode.USAGE;
		}
		ResultPlot.write(CompareCommand.readAll(line.getArgList()), line.getOptionValue("kind", "streamed"),
				ResultPlot.Measure.valueOf(measure), file);
		out.println("wrote " + file);
		return ExitCode.OK;
	}

}
