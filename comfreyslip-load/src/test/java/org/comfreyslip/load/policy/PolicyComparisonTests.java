package org.comfreyslip.load.policy;

import org.comfreyslip.routing.endpoint.EndpointPolicy;
import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Guards against figures that a seed does not reproduce, throughput above the bound, and
 * account usage above the stated bound.
 */
class PolicyComparisonTests {

	@Test
	void theSameSeedGivesTheSameFigures() {
		assertThat(run(EndpointPolicy.WEIGHTED, 95).toCsv()).isEqualTo(run(EndpointPolicy.WEIGHTED, 95).toCsv());
	}

	@Test
	void noPolicyCompletesMoreThanTheBound() {
		for (EndpointPolicy policy : EndpointPolicy.values()) {
			PolicyResult result = run(policy, 120);
			assertThat(result.completed() / 5.0).isLessThan(result.boundPerSecond() * 1.03);
		}
	}

	@Test
	void usageStaysWithinTheStatedBound() {
		for (boolean gossip : new boolean[] { false, true }) {
			OverGrantResult result = new OverGrantLoop(100, 100, gossip, 1).run(30);
			assertThat((double) result.peak()).isLessThanOrEqualTo(result.statedBound());
		}
	}

	private static PolicyResult run(EndpointPolicy policy, int percent) {
		return new QueueLoop(new PolicyCase(KindMix.MIXED, policy, percent, 8, 40, 5, 1)).run();
	}

}
