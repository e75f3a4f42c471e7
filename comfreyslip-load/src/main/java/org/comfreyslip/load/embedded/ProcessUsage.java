package org.comfreyslip.load.embedded;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;

/**
 * Processor time and memory of a process, from the files below {@code /proc}.
 *
 * @param cpuSeconds user and system time since the start of the process
 * @param residentKilobytes resident memory
 */
public record ProcessUsage(double cpuSeconds, long residentKilobytes) {

	// Linux states process times in units of USER_HZ, which is 100 on all common
	// platforms.
	private static final double TICKS_PER_SECOND = 100;

	private static final int USER_TIME_FIELD = 11;

	private static final int SYSTEM_TIME_FIELD = 12;

	/**
	 * Reads the usage of a process.
	 * @param pid the process id
	 * @return the usage, zero if the process has ended
	 */
	public static ProcessUsage of(long pid) {
		try {
			Path directory = Path.of("/proc", Long.toString(pid));
			return new ProcessUsage(cpuSeconds(Files.readString(directory.resolve("stat"))),
					residentKilobytes(Files.readAllLines(directory.resolve("status"))));
		}
		catch (IOException ex) {
			return new ProcessUsage(0, 0);
		}
	}

	// The second field is the program's name in parentheses and may contain spaces.
	static double cpuSeconds(String stat) {
		String[] fields = stat.substring(stat.lastIndexOf(')') + 2).split(" ");
		return (Long.parseLong(fields[USER_TIME_FIELD]) + Long.parseLong(fields[SYSTEM_TIME_FIELD])) / TICKS_PER_SECOND;
	}

	static long residentKilobytes(List<String> status) {
		return status.stream()
			.filter((line) -> line.startsWith("VmRSS:"))
			.mapToLong((line) -> Long.parseLong(line.replaceAll("\\D", "")))
			.findFirst()
			.orElse(0);
	}

}
