package org.comfreyslip.load;

import java.io.ByteArrayOutputStream;
import java.io.PrintStream;
import java.nio.charset.StandardCharsets;

import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Guards against exit codes that differ from the documented ones.
 */
class LoadMainTests {

	private final ByteArrayOutputStream out = new ByteArrayOutputStream();

	@Test
	void helpNamesAllCommandsAndExitCodes() {
		assertThat(run("--help")).isZero();
		assertThat(this.out.toString(StandardCharsets.UTF_8)).contains("run --scenario", "compare ", "plot ", "slopes ",
				"exit codes");
		assertThat(run("--version")).isZero();
		assertThat(run("run", "--help")).isZero();
	}

	@Test
	void invalidArgumentsAreUsageErrors() {
		assertThat(run()).isEqualTo(ExitCode.USAGE);
		assertThat(run("walk")).isEqualTo(ExitCode.USAGE);
		assertThat(run("run")).isEqualTo(ExitCode.USAGE);
		assertThat(run("run", "--unknown")).isEqualTo(ExitCode.USAGE);
		assertThat(run("slopes", "--probe", "none")).isEqualTo(ExitCode.USAGE);
		assertThat(run("run", "--scenario", "x", "--repeats", "many")).isEqualTo(ExitCode.USAGE);
		assertThat(run("plot", "--measure", "none", "--output", "x.png", "y.json")).isEqualTo(ExitCode.USAGE);
	}

	@Test
	void unusableFilesAreFileErrors() {
		assertThat(run("run", "--scenario", "absent.ini")).isEqualTo(ExitCode.FILES);
		assertThat(run("compare", "absent.json")).isEqualTo(ExitCode.FILES);
	}

	private int run(String... arguments) {
		PrintStream stream = new PrintStream(this.out, true, StandardCharsets.UTF_8);
		return LoadMain.run(arguments, stream, stream);
	}

}
