package org.comfreyslip.load.scenario;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Map;
import java.util.stream.Stream;

import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatExceptionOfType;

/**
 * Guards against scenarios that run with other values than their author wrote.
 */
class ScenarioParserTests {

	private static final String TEXT = """
			[load]
			name = small
			seed = 7
			requests-per-second = 12.5
			max-tokens = 3-9
			[mix]
			streamed = 2
			look-up = 1
			[topology]
			kinds = fast:100:2, slow:300:1
			[fault stop]
			targets = s0-fast-1, s1-fast-1
			mode = KILL
			at-millis = 100
			every-millis = 1000
			repeat = 3
			restart-after-millis = 400
			""";

	@Test
	void valuesAreReadAndOthersHaveDefaults() {
		Scenario scenario = ScenarioParser.parse("small.ini", TEXT, Map.of());
		assertThat(scenario.name()).isEqualTo("small");
		assertThat(scenario.seed()).isEqualTo(7);
		assertThat(scenario.requestsPerSecond()).isEqualTo(12.5);
		assertThat(scenario.maxTokens()).isEqualTo(new IntRange(3, 9));
		assertThat(scenario.mix()).containsEntry(RequestKind.STREAMED, 2)
			.containsEntry(RequestKind.LOOK_UP, 1)
			.containsEntry(RequestKind.STAMP, 0);
		assertThat(scenario.topology().engines()).hasSize(9);
		assertThat(scenario.attempts()).isEqualTo(3);
	}

	@Test
	void anOverrideReplacesAValueOfTheFile() {
		Scenario scenario = ScenarioParser.parse("small.ini", TEXT, Map.of("load.seed", "8", "topology.daemons", "2"));
		assertThat(scenario.seed()).isEqualTo(8);
		assertThat(scenario.topology().daemons()).isEqualTo(2);
	}

	@Test
	void aKilledProcessIsStartedAgainAfterEachFault() {
		FaultPlan plan = ScenarioParser.parse("small.ini", TEXT, Map.of()).faults().get(0);
		assertThat(plan.actions()).extracting(FaultPlan.FaultAction::atMillis)
			.containsExactly(100L, 500L, 1100L, 1500L, 2100L, 2500L);
		assertThat(plan.actions()).extracting(FaultPlan.FaultAction::target)
			.containsExactly("s0-fast-1", "s0-fast-1", "s1-fast-1", "s1-fast-1", "s0-fast-1", "s0-fast-1");
	}

	@Test
	void aMisspeltKeyIsRefusedInsteadOfIgnored() {
		refused(Map.of("load.sead", "3"), "sead");
		refused(Map.of("lode.seed", "3"), "lode");
	}

	@Test
	void aValueOutsideItsRangeIsRefusedWithTheKey() {
		refused(Map.of("load.duration-seconds", "0"), "duration-seconds");
		refused(Map.of("load.max-tokens", "9-3"), "max-tokens");
		refused(Map.of("topology.kinds", "fast:100"), "kinds");
		refused(Map.of("load.bound-percent", "80"), "bound-percent");
	}

	@Test
	void moreProcessesThanTheLimitAreRefused() {
		refused(Map.of("topology.kinds", "fast:100:20"), "at most 40");
	}

	@Test
	void theExamplesAreValid() throws IOException {
		try (Stream<Path> files = Files.list(Path.of("../examples/load"))) {
			assertThat(files).isNotEmpty()
				.allSatisfy((file) -> assertThat(
						ScenarioParser.parse(file.toString(), Files.readString(file), Map.of()).name() + ".ini")
					.isEqualTo(file.getFileName().toString()));
		}
	}

	private static void refused(Map<String, String> overrides, String part) {
		assertThatExceptionOfType(ScenarioException.class)
			.isThrownBy(() -> ScenarioParser.parse("small.ini", TEXT, overrides))
			.withMessageContaining(part);
	}

}
