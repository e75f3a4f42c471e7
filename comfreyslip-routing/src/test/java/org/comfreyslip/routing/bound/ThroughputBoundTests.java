package org.comfreyslip.routing.bound;

import java.util.List;

import org.comfreyslip.routing.topology.LayerRange;
import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Guards against a bound that is too low to be an upper bound or too high to be useful,
 * and against a wrong bottleneck.
 */
class ThroughputBoundTests {

	@Test
	void theWeakestCutIsTheBoundAndIsNamed() {
		ModelBound bound = ThroughputBound.ofModel(10, List.of(rate("a", 0, 5, 30), rate("b", 0, 5, 20),
				rate("c", 5, 10, 25), rate("d", 5, 7, 10), rate("e", 7, 10, 4)));
		assertThat(bound.tokensPerSecond()).isEqualTo(29);
		assertThat(bound.bottleneck()).containsExactlyInAnyOrder("c", "e");
		assertThat(bound.gapLayer()).isEqualTo(-1);
	}

	@Test
	void aPathThatHasToBeUndoneDoesNotLowerTheBound() {
		ModelBound bound = ThroughputBound.ofModel(3, List.of(rate("a", 0, 1, 1), rate("b", 0, 2, 1),
				rate("c", 1, 2, 1), rate("d", 1, 3, 1), rate("e", 2, 3, 1)));
		assertThat(bound.tokensPerSecond()).isEqualTo(2);
	}

	@Test
	void anUncoveredLayerIsNamed() {
		ModelBound bound = ThroughputBound.ofModel(10, List.of(rate("a", 0, 4, 30), rate("b", 5, 10, 20)));
		assertThat(bound).isEqualTo(new ModelBound(0, List.of(), 4));
	}

	@Test
	void aServiceIsBoundByTheSumOfItsEndpoints() {
		assertThat(ThroughputBound.ofService(List.of(10.0, 20.0, 5.5))).isEqualTo(35.5);
	}

	private static EngineRate rate(String engine, int first, int end, double tokensPerSecond) {
		return new EngineRate(engine, new LayerRange(first, end), tokensPerSecond);
	}

}
