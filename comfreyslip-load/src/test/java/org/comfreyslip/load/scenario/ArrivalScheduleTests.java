package org.comfreyslip.load.scenario;

import java.util.List;
import java.util.Map;

import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.within;

/**
 * Guards against arrivals that cannot be repeated or miss the stated rate or mix.
 */
class ArrivalScheduleTests {

	private static final Scenario SCENARIO = ScenarioParser.parse("s.ini", """
			[load]
			seed = 3
			duration-seconds = 100
			requests-per-second = 50
			prompt-words = 2-4
			max-tokens = 5-6
			[mix]
			streamed = 3
			stamp = 1
			""", Map.of());

	@Test
	void theSameSeedGivesTheSameArrivals() {
		assertThat(create(SCENARIO)).isEqualTo(create(SCENARIO)).isNotEqualTo(create(SCENARIO.withSeed(4)));
	}

	@Test
	void arrivalsKeepRateAndOrder() {
		List<Arrival> arrivals = create(SCENARIO);
		// Four standard deviations of a Poisson count of mean 5,000.
		assertThat(arrivals.size()).isCloseTo(5_000, within(283));
		assertThat(arrivals).extracting(Arrival::atNanos).isSorted().allMatch((at) -> at < 100_000_000_000L);
	}

	@Test
	void gapsAreExponentialAndNotRegular() {
		List<Arrival> arrivals = create(SCENARIO);
		long shorter = 0;
		for (int i = 1; i < arrivals.size(); i++) {
			shorter += (arrivals.get(i).atNanos() - arrivals.get(i - 1).atNanos() < 20_000_000) ? 1 : 0;
		}
		// 1 - 1/e of exponential gaps are shorter than their mean.
		assertThat((double) shorter / arrivals.size()).isCloseTo(0.632, within(0.03));
	}

	@Test
	void kindsAndSizesFollowTheScenario() {
		List<Arrival> arrivals = create(SCENARIO);
		long stamps = arrivals.stream().filter((one) -> one.kind() == RequestKind.STAMP).count();
		assertThat((double) stamps / arrivals.size()).isCloseTo(0.25, within(0.03));
		assertThat(arrivals).filteredOn((one) -> one.kind() == RequestKind.STREAMED)
			.allMatch((one) -> one.maxTokens() >= 5 && one.maxTokens() <= 6)
			.allMatch((one) -> one.prompt().split(" ").length >= 2 && one.prompt().split(" ").length <= 4);
		assertThat(arrivals).extracting(Arrival::daemon).containsOnly(0, 1);
	}

	private static List<Arrival> create(Scenario scenario) {
		return ArrivalSchedule.create(scenario, scenario.requestsPerSecond(), 3, 2);
	}

}
