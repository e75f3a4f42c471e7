package org.comfreyslip.standins;

import java.io.IOException;
import java.io.PrintWriter;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Locale;
import java.util.concurrent.CountDownLatch;

import org.apache.commons.cli.Options;

/**
 * Runs stand-ins as a program.
 */
public final class StandinMain {

	private static final int USAGE = 2;

	private static final int FAILED_START = 1;

	/**
	 * Netty's switch to the JDK's transport. Jooby's native one lets several processes
	 * listen at one address (SO_REUSEPORT), so two stand-ins that drew the same free port
	 * would both start and share the connections.
	 */
	private static final String NO_NATIVE_TRANSPORT = "io.netty.transport.noNative";

	private StandinMain() {
	}

	/**
	 * Starts the stand-ins that the arguments name and runs until the process is ended.
	 * @param arguments a kind and its options, or {@code all FILE}
	 * @throws InterruptedException if the thread is interrupted
	 */
	public static void main(String[] arguments) throws InterruptedException {
		System.setProperty(NO_NATIVE_TRANSPORT, "true");
		PrintWriter out = new PrintWriter(System.out, true, StandardCharsets.UTF_8);
		try {
			if (run(List.of(arguments), out).isEmpty()) {
				return;
			}
		}
		catch (IllegalArgumentException | IOException ex) {
			System.err.println(ex.getMessage());
			System.exit(USAGE);
		}
		catch (IllegalStateException ex) {
			System.err.println(ex.getMessage());
			System.exit(FAILED_START);
		}
		new CountDownLatch(1).await();
	}

	// Returns the stand-ins that were started.
	static List<StandinServer> run(List<String> arguments, PrintWriter out) throws IOException {
		if (arguments.isEmpty() || arguments.contains("--help")) {
			printHelp(arguments, out);
			return List.of();
		}
		if (arguments.contains("--version")) {
			String version = StandinMain.class.getPackage().getImplementationVersion();
			out.println("comfreyslip-standins " + ((version != null) ? version : "unpackaged"));
			return List.of();
		}
		List<StandinServer> servers = new ArrayList<>();
		for (List<String> line : lines(arguments)) {
			StandinServer server = start(line);
			servers.add(server);
			out.println(line.get(0) + " " + server.address());
		}
		return servers;
	}

	private static List<List<String>> lines(List<String> arguments) throws IOException {
		if (!arguments.get(0).equals("all")) {
			return List.of(arguments);
		}
		if (arguments.size() != 2) {
			throw new IllegalArgumentException("all needs one file with a kind and its options per line");
		}
		List<List<String>> lines = new ArrayList<>();
		for (String line : Files.readAllLines(Path.of(arguments.get(1)))) {
			if (!line.isBlank() && !line.startsWith("#")) {
				lines.add(Arrays.asList(line.strip().split("\\s+")));
			}
		}
		return lines;
	}

	private static StandinServer start(List<String> line) {
		String[] options = line.subList(1, line.size()).toArray(String[]::new);
		return StandinServer.start(kind(line.get(0)), true, options);
	}

	private static StandinKind kind(String name) {
		return Arrays.stream(StandinKind.values())
			.filter((kind) -> kind.name().toLowerCase(Locale.ROOT).equals(name))
			.findFirst()
			.orElseThrow(() -> new IllegalArgumentException(
					"unknown kind " + name + "; known are engine, log, hosts, weights, service and all"));
	}

	private static void printHelp(List<String> arguments, PrintWriter out) {
		out.println("usage: standins engine|log|hosts|weights|service [options]");
		out.println("       standins all FILE (a kind and its options per line, # for comments)");
		for (StandinKind kind : StandinKind.values()) {
			String name = kind.name().toLowerCase(Locale.ROOT);
			if (arguments.isEmpty() || arguments.get(0).startsWith("-") || arguments.get(0).equals(name)) {
				out.println();
				out.println(name);
				printOptions(kind.options(), out);
			}
		}
	}

	private static void printOptions(Options options, PrintWriter out) {
		options.getOptions().forEach((option) -> {
			String name = "--" + option.getLongOpt() + ((option.hasArg()) ? " <" + option.getArgName() + ">" : "");
			out.println(String.format("  %-34s%s", name, option.getDescription()));
		});
	}

}
