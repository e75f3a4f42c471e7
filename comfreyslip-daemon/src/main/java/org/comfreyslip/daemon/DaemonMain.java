package org.comfreyslip.daemon;

import java.io.IOException;
import java.io.PrintStream;
import java.nio.file.Files;
import java.nio.file.Path;

import org.apache.commons.cli.CommandLine;
import org.apache.commons.cli.DefaultParser;
import org.apache.commons.cli.HelpFormatter;
import org.apache.commons.cli.Options;
import org.apache.commons.cli.ParseException;
import org.comfreyslip.coordination.CodedException;
import org.comfreyslip.settings.DaemonSettings;
import sun.misc.Signal;

/**
 * Command line of the router daemon.
 */
public final class DaemonMain {

	/** Exit code after a clean shutdown. */
	public static final int EXIT_OK = 0;

	/** Exit code for wrong arguments. */
	public static final int EXIT_USAGE = 2;

	/** Exit code for settings that cannot be read or are invalid. */
	public static final int EXIT_SETTINGS = 3;

	/** Exit code if a listener cannot be opened. */
	public static final int EXIT_START = 4;

	private static final String USAGE = "comfreyslip-daemon --settings FILE";

	private DaemonMain() {
	}

	/**
	 * Runs the daemon until its shutdown has ended.
	 * @param args the arguments, see {@code --help}
	 */
	public static void main(String[] args) {
		System.exit(run(args, System.out, System.err));
	}

	static int run(String[] args, PrintStream out, PrintStream err) {
		Options options = new Options().addOption("s", "settings", true, "the daemon's settings, an INI file")
			.addOption("h", "help", false, "print this help")
			.addOption("V", "version", false, "print the version");
		CommandLine line;
		try {
			line = new DefaultParser().parse(options, args);
		}
		catch (ParseException ex) {
			err.println(ex.getMessage() + "; usage: " + USAGE);
			return EXIT_USAGE;
		}
		if (line.hasOption("help")) {
			new HelpFormatter().printHelp(USAGE, options);
			return EXIT_OK;
		}
		if (line.hasOption("version")) {
			out.println("comfreyslip-daemon " + version());
			return EXIT_OK;
		}
		if (!line.hasOption("settings")) {
			err.println("--settings is missing; usage: " + USAGE);
			return EXIT_USAGE;
		}
		return readSettingsAndServe(Path.of(line.getOptionValue("settings")), err);
	}

	private static int readSettingsAndServe(Path file, PrintStream err) {
		DaemonSettings settings;
		try {
			settings = DaemonSettings.parse(file.toString(), Files.readString(file));
		}
		catch (IOException ex) {
			err.println("cannot read " + file + ": " + ex.getMessage());
			return EXIT_SETTINGS;
		}
		catch (CodedException ex) {
			err.println(ex.getMessage());
			return EXIT_SETTINGS;
		}
		return serve(settings, err);
	}

	private static int serve(DaemonSettings settings, PrintStream err) {
		try (Daemon daemon = new Daemon(settings)) {
			Signal.handle(new Signal("TERM"), (signal) -> daemon.startDrain());
			Signal.handle(new Signal("INT"), (signal) -> daemon.startDrain());
			daemon.awaitEnd();
			return EXIT_OK;
		}
		catch (InterruptedException ex) {
			Thread.currentThread().interrupt();
			return EXIT_OK;
		}
		catch (RuntimeException ex) {
			err.println("cannot start: " + ex.getMessage());
			return EXIT_START;
		}
	}

	private static String version() {
		String version = DaemonMain.class.getPackage().getImplementationVersion();
		return (version != null) ? version : "development";
	}

}
