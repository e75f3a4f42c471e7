package org.comfreyslip.operator;

import java.io.ByteArrayInputStream;
import java.io.ByteArrayOutputStream;
import java.io.PrintStream;
import java.nio.charset.StandardCharsets;
import java.util.List;

/**
 * Runs the command in this process with captured output and a clock that advances only
 * while the command sleeps.
 */
class CommandRunner implements Ticker {

	private final ByteArrayOutputStream out = new ByteArrayOutputStream();

	private final ByteArrayOutputStream err = new ByteArrayOutputStream();

	private String input = "";

	private long now;

	private Runnable onSleep = () -> {
	};

	ExitCode run(String... arguments) {
		this.out.reset();
		this.err.reset();
		Console console = new Console(new ByteArrayInputStream(this.input.getBytes(StandardCharsets.UTF_8)),
				new PrintStream(this.out, true, StandardCharsets.UTF_8),
				new PrintStream(this.err, true, StandardCharsets.UTF_8));
		return new OperatorCommand(console, this).run(List.of(arguments));
	}

	void input(String text) {
		this.input = text;
	}

	void onSleep(Runnable action) {
		this.onSleep = action;
	}

	String out() {
		return this.out.toString(StandardCharsets.UTF_8);
	}

	String err() {
		return this.err.toString(StandardCharsets.UTF_8);
	}

	@Override
	public long nowNanos() {
		return this.now;
	}

	@Override
	public void sleepMillis(long millis) {
		this.now += millis * 1_000_000;
		this.onSleep.run();
	}

}
