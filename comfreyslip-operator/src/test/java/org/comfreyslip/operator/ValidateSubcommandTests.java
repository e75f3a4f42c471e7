package org.comfreyslip.operator;

import org.comfreyslip.settings.OperatorText;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Guards against texts that are valid but do not do what the operator expects, and
 * against an exit code that lets a script propose a text with errors.
 */
class ValidateSubcommandTests {

	private static final String TEXT = """
			[comfreyslip]
			format = 1
			[service archive]
			protected = POST /certificates/*
			lookup = /by-key/{key}
			timeout-ms = 20000
			[endpoint archive-1]
			service = archive
			address = 10.0.0.1:80
			data-centre = a
			""";

	private final CommandRunner command = new CommandRunner();

	@ParameterizedTest
	@CsvSource(delimiter = '|',
			textBlock = """
					[kind small];layer-micros = 900 | [kind small]: no engine
					[service index] | [service index]: no endpoint
					[endpoint e2];service = archive;address = 10.0.0.1:80;data-centre = a | [endpoint e2] address: 10.0.0.1:80 is also
					[link a b];bandwidth-mbit = 10;latency-micros = 10000000 | [service archive] timeout-ms: 20000 is not above the round trip
					""")
	void anEntryThatHasNoEffectOrContradictsAnotherGivesAWarning(String addition, String warning) {
		String text = TEXT + addition.replace(';', '\n');
		assertThat(TextWarnings.of(OperatorText.parse("ops.ini", text))).singleElement().asString().startsWith(warning);
	}

	@ParameterizedTest
	@CsvSource(delimiter = '|', textBlock = """
			POST /certificates/* | POST /*/*, POST /certificates/* | protected: POST /certificates/* never matches
			protected = POST /certificates/* | enforces-send-by = true | lookup: has no effect
			protected = POST /certificates/* | refusal-statuses = 409 | refusal-statuses: has no effect
			""")
	void aKeyWithoutEffectGivesAWarning(String before, String after, String warning) {
		String text = TEXT.replace(before, after);
		assertThat(TextWarnings.of(OperatorText.parse("ops.ini", text))).extracting(TextWarning::toString)
			.anyMatch((line) -> line.startsWith("[service archive] " + warning));
	}

	@Test
	void aServiceThatEndsCallsBeforeTheServiceThatItNeedsGivesAWarning() {
		this.command.input(TEXT + """
				[service front]
				depends = archive
				timeout-ms = 200
				[endpoint front-1]
				service = front
				address = 10.0.0.2:80
				data-centre = a
				""");
		assertThat(this.command.run("validate", "-")).isEqualTo(ExitCode.WARNINGS);
		assertThat(this.command.out().lines()).containsExactly(
				"warning: [service front] timeout-ms: 200 is below the 20000 of service archive, which this service needs",
				"-: 0 errors, 1 warnings, 0 differences");
	}

	@Test
	void theExitCodeStatesWhetherThereAreErrorsWarningsOrNothing() {
		this.command.input(TEXT);
		assertThat(this.command.run("validate", "-").code()).isZero();
		this.command.input(TEXT + "[service index]\n");
		assertThat(this.command.run("validate", "-").code()).isEqualTo(1);
		this.command.input(TEXT + "[service index]\ndepends = no-such-service\n");
		assertThat(this.command.run("validate", "-").code()).isEqualTo(2);
		assertThat(this.command.out()).contains("error: -: [service index] depends");
	}

	@Test
	void differencesFromTheVersionInForceAreListedAndNothingIsSent() {
		try (LogServer log = new LogServer()) {
			this.command.input(TEXT);
			this.command.run("propose", "-", "--base", "0", "--log", log.address());
			this.command.input(TEXT.replace("10.0.0.1", "10.0.0.9"));
			assertThat(this.command.run("validate", "-", "--log", log.address())).isEqualTo(ExitCode.OK);
			assertThat(this.command.out())
				.contains("difference: ~ [endpoint archive-1] address = 10.0.0.1:80 -> 10.0.0.9:80");
			assertThat(this.command.run("history", "--log", log.address())).isEqualTo(ExitCode.OK);
			assertThat(this.command.out().lines()).hasSize(1);
		}
	}

}
