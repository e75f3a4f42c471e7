package org.comfreyslip.load.scenario;

import java.util.List;

import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.within;

/**
 * Guards against a bound that does not match the engines that are started.
 */
class TopologyPlanTests {

	@Test
	void theBoundIsTheSumOfTheKindsOfOneStage() {
		TopologyPlan plan = plan(List.of(new KindPlan("fast", 5_000, 1), new KindPlan("slow", 15_000, 1)));
		// Batches of 4 in 4 x 5 ms + 4 x 0.02 ms, and in 4 x 15 ms + 4 x 0.02 ms.
		assertThat(plan.bound().tokensPerSecond()).isCloseTo(4 / 0.02008 + 4 / 0.06008, within(0.01));
	}

	@Test
	void moreEnginesPerStageRaiseTheBoundInProportion() {
		double one = plan(List.of(new KindPlan("fast", 5_000, 1))).bound().tokensPerSecond();
		assertThat(plan(List.of(new KindPlan("fast", 5_000, 3))).bound().tokensPerSecond()).isCloseTo(3 * one,
				within(0.01));
	}

	@Test
	void everyLayerHasAnEngineOfEachKind() {
		TopologyPlan plan = plan(List.of(new KindPlan("fast", 100, 2), new KindPlan("slow", 300, 1)));
		assertThat(plan.engines()).extracting(TopologyPlan.PlannedEngine::name)
			.containsExactly("s0-fast-1", "s0-fast-2", "s0-slow-1", "s1-fast-1", "s1-fast-2", "s1-slow-1");
		assertThat(plan.processes()).isEqualTo(6 + 2 + 1);
	}

	private static TopologyPlan plan(List<KindPlan> kinds) {
		return new TopologyPlan(2, 4, kinds, 4, 20, 2, 1, 5, 160, 64);
	}

}
