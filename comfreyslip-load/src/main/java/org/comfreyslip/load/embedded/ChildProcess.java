package org.comfreyslip.load.embedded;

import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStreamReader;
import java.io.UncheckedIOException;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.TimeUnit;
import java.util.function.Predicate;

/**
 * A Java program of this project as a child process.
 */
final class ChildProcess implements AutoCloseable {

	private static final long START_SECONDS = 60;

	private static final long POLL_MILLIS = 20;

	private final Process process;

	private final List<String> lines = new CopyOnWriteArrayList<>();

	private ChildProcess(Process process) {
		this.process = process;
		Thread reader = new Thread(this::read, "output-" + process.pid());
		reader.setDaemon(true);
		reader.start();
	}

	static ChildProcess start(Class<?> main, List<String> jvmOptions, List<String> arguments) {
		List<String> command = new ArrayList<>();
		command.add(System.getProperty("java.home") + "/bin/java");
		command.addAll(jvmOptions);
		command.addAll(List.of("-cp", System.getProperty("java.class.path"), main.getName()));
		command.addAll(arguments);
		try {
			return new ChildProcess(new ProcessBuilder(command).redirectErrorStream(true).start());
		}
		catch (IOException ex) {
			throw new UncheckedIOException(ex);
		}
	}

	long pid() {
		return this.process.pid();
	}

	List<String> lines() {
		return List.copyOf(this.lines);
	}

	/**
	 * Waits for lines of output.
	 * @param test selects the lines
	 * @param count how many are needed
	 * @return the lines in their order
	 */
	List<String> awaitLines(Predicate<String> test, int count) {
		long end = System.nanoTime() + TimeUnit.SECONDS.toNanos(START_SECONDS);
		while (System.nanoTime() < end && this.process.isAlive()) {
			List<String> found = this.lines.stream().filter(test).toList();
			if (found.size() >= count) {
				return found;
			}
			sleep();
		}
		throw new IllegalStateException("a child process did not print the expected lines: " + this.lines);
	}

	@Override
	public void close() {
		this.process.destroyForcibly();
		try {
			this.process.waitFor();
		}
		catch (InterruptedException ex) {
			Thread.currentThread().interrupt();
		}
	}

	private void read() {
		try (BufferedReader reader = new BufferedReader(
				new InputStreamReader(this.process.getInputStream(), StandardCharsets.UTF_8))) {
			for (String line = reader.readLine(); line != null; line = reader.readLine()) {
				this.lines.add(line);
			}
		}
		catch (IOException ex) {
			// The stream ends with the process.
		}
	}

	private static void sleep() {
		try {
			Thread.sleep(POLL_MILLIS);
		}
		catch (InterruptedException ex) {
			Thread.currentThread().interrupt();
			throw new IllegalStateException(ex);
		}
	}

}
