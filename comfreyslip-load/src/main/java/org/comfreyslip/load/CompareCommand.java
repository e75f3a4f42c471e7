package org.comfreyslip.load;

import java.io.IOException;
import java.io.PrintStream;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;

import org.apache.commons.cli.CommandLine;
import org.apache.commons.cli.Options;
import org.comfreyslip.load.report.ResultFiles;
import org.comfreyslip.load.report.ResultTable;
import org.comfreyslip.load.report.RunSummary;

/**
 * Prints results side by side.
 */
final class CompareCommand implements LoadCommand {

	@Override
	public Options options() {
		return new Options();
	}

	@Override
	public String usage() {
		return "compare RESULT.json...";
	}

	@Override
	public int run(CommandLine line, PrintStream out) throws IOException {
		if (line.getArgList().isEmpty()) {
			out.println("no results; usage: " + usage());
			return ExitCode.USAGE;
		}
		ResultTable.lines(readAll(line.getArgList())).forEach(out::println);
		return ExitCode.OK;
	}

	static List<RunSummary> readAll(List<String> files) throws IOException {
		List<RunSummary> results = new ArrayList<>();
		for (String file : files) {
			results.add(ResultFiles.read(Path.of(file)));
		}
		return results;
	}

}
