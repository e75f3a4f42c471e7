package org.comfreyslip.acceptance;

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
 * One of the system's programs as a process of its own.
 */
final class JavaProcess implements AutoCloseable {

	private static final long START_SECONDS = 60;

	private static final long POLL_MILLIS = 20;

	private final Process process;

	private final List<String> lines = new CopyOnWriteArrayList<>();

	private JavaProcess(Process process) {
		this.process = process;
		Thread reader = new Thread(this::read, "output-" + process.pid());
		reader.setDaemon(true);
		reader.start();
	}

	static JavaProcess start(Class<?> main, String... arguments) {
		String classPath = System.getProperty("surefire.test.class.path", System.getProperty("java.class.path"));
		List<String> command = new ArrayList<>(List.of(System.getProperty("java.home") + "/bin/java", "-Xmx160m",
				"-XX:+UseSerialGC", "-XX:TieredStopAtLevel=1", "-cp", classPath, main.getName()));
		command.addAll(List.of(arguments));
		try {
			return new JavaProcess(new ProcessBuilder(command).redirectErrorStream(true).start());
		}
		catch (IOException ex) {
			throw new UncheckedIOException(ex);
		}
	}

	/**
	 * Waits for a line of output.
	 * @param test selects the line
	 * @return the line
	 */
	String awaitLine(Predicate<String> test) {
		long end = System.nanoTime() + TimeUnit.SECONDS.toNanos(START_SECONDS);
		while (System.nanoTime() < end) {
			for (String line : this.lines) {
				if (test.test(line)) {
					return line;
				}
			}
			if (!this.process.isAlive()) {
				break;
			}
			sleep();
		}
		throw new IllegalStateException("the process did not print the expected line: " + this.lines);
	}

	List<String> lines() {
		return List.copyOf(this.lines);
	}

	void terminate() {
		this.process.destroy();
	}

	void kill() {
		this.process.destroyForcibly();
		awaitExit(START_SECONDS);
	}

	void pause() {
		signal("STOP");
	}

	void resume() {
		signal("CONT");
	}

	/**
	 * Waits for the end of the process.
	 * @param seconds how long to wait
	 * @return the exit code
	 */
	int awaitExit(long seconds) {
		try {
			if (!this.process.waitFor(seconds, TimeUnit.SECONDS)) {
				throw new IllegalStateException("the process has not ended after " + seconds + " s: " + this.lines);
			}
			return this.process.exitValue();
		}
		catch (InterruptedException ex) {
			Thread.currentThread().interrupt();
			throw new IllegalStateException(ex);
		}
	}

	boolean isAlive() {
		return this.process.isAlive();
	}

	@Override
	public void close() {
		signal("CONT");
		kill();
	}

	private void signal(String name) {
		try {
			new ProcessBuilder("kill", "-" + name, Long.toString(this.process.pid())).start().waitFor();
		}
		catch (IOException ex) {
			throw new UncheckedIOException(ex);
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
