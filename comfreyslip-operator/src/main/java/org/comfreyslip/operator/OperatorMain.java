package org.comfreyslip.operator;

import java.util.List;

/**
 * Entry point of the operators' command.
 */
public final class OperatorMain {

	private OperatorMain() {
	}

	/**
	 * Runs the command and ends the process with its exit code.
	 * @param args the program's arguments
	 */
	public static void main(String[] args) {
		Console console = new Console(System.in, System.out, System.err);
		ExitCode exitCode = new OperatorCommand(console, Ticker.SYSTEM).run(List.of(args));
		System.out.flush();
		System.exit(exitCode.code());
	}

}
