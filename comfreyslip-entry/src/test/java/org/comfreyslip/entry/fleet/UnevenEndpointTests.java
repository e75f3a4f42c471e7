package org.comfreyslip.entry.fleet;

import org.junit.jupiter.api.Tag;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Tests for {@link LeastWaitSelector} with many daemons whose figures are old. They guard
 * against daemons that all choose the endpoint that looked best, and against endpoints
 * that are preferred because they fail fast.
 */
class UnevenEndpointTests {

	private static final double UNTIL_MS = 36_000;

	private static final double SLOW_FROM_MS = 10_000;

	private static final double SLOW_TO_MS = 16_500;

	private static final double MAX_RATIO = 1.5;

	@ParameterizedTest
	@CsvSource({ "7,3,0.5", "78,5,0.5", "128,3,0.5", "128,7,0.5", "78,5,0.7", "128,3,0.7", "128,7,0.7" })
	void theTimeInTheServiceIsCloseToThatWithExactLoads(int daemons, int endpoints, double use) {
		assertTimeIsCloseToExact(daemons, endpoints, use);
	}

	@ParameterizedTest
	@CsvSource("7,3,0.7")
	void theTimeInTheServiceIsCloseToThatWithExactLoadsForFewDaemonsUnderLoad(int daemons, int endpoints, double use) {
		assertTimeIsCloseToExact(daemons, endpoints, use);
	}

	private static void assertTimeIsCloseToExact(int daemons, int endpoints, double use) {
		for (long seed = 1; seed <= 3; seed++) {
			double exactMs = new UnevenEndpointSimulation(daemons, endpoints, use, true, seed).run(UNTIL_MS).p99Ms();
			double ms = new UnevenEndpointSimulation(daemons, endpoints, use, false, seed).run(UNTIL_MS).p99Ms();
			assertThat(ms).isLessThanOrEqualTo(MAX_RATIO * exactMs);
		}
	}

	@ParameterizedTest
	@CsvSource({ "7,3", "78,5", "128,3", "128,7" })
	void anEndpointThatFailsFastIsNotPreferred(int daemons, int endpoints) {
		for (int failing = 0; failing < endpoints; failing += endpoints - 1) {
			double part = new UnevenEndpointSimulation(daemons, endpoints, 0.4, false, 1).failing(failing, 0.3)
				.run(UNTIL_MS)
				.partOfEvenShare(failing, UnevenEndpointSimulation.WARM_UP_MS, UNTIL_MS);
			assertThat(part).isLessThan(0.1);
		}
	}

	// The demand is half of what the other endpoints can serve.
	@ParameterizedTest
	@CsvSource({ "7,3,0.22", "78,5,0.33", "128,7,0.38" })
	void anEndpointThatTurnsSlowGetsFewRequests(int daemons, int endpoints, double use) {
		assertSlowEndpointGetsFewRequests(daemons, endpoints, use);
	}

	@Tag("known-red")
	@ParameterizedTest
	@CsvSource("128,3,0.22")
	void oneOfThreeEndpointsThatTurnsSlowGetsFewRequestsOfManyDaemons(int daemons, int endpoints, double use) {
		assertSlowEndpointGetsFewRequests(daemons, endpoints, use);
	}

	private static void assertSlowEndpointGetsFewRequests(int daemons, int endpoints, double use) {
		for (int slow = 0; slow < endpoints; slow += endpoints - 1) {
			double part = new UnevenEndpointSimulation(daemons, endpoints, use, false, 1)
				.slow(slow, SLOW_FROM_MS, SLOW_TO_MS)
				.run(UNTIL_MS)
				.partOfEvenShare(slow, SLOW_FROM_MS, SLOW_TO_MS);
			assertThat(part).isLessThan(1 / 3.0);
		}
	}

	// Guards against wrong reports that draw all requests to an endpoint, or keep them
	// all away.
	@ParameterizedTest
	@CsvSource({ "7,3,0", "78,5,0", "128,3,0", "128,7,0", "78,5,10", "128,7,10" })
	void misreportedLoadsHaveABoundedEffect(int daemons, int endpoints, double factor) {
		assertMisreportIsBounded(daemons, endpoints, factor);
	}

	@ParameterizedTest
	@CsvSource({ "7,3,10", "128,3,10" })
	void loadsMisreportedAsTenTimesHaveABoundedEffectOnThreeEndpoints(int daemons, int endpoints, double factor) {
		assertMisreportIsBounded(daemons, endpoints, factor);
	}

	private static void assertMisreportIsBounded(int daemons, int endpoints, double factor) {
		for (int wrong = 0; wrong < endpoints; wrong += endpoints - 1) {
			double exactMs = new UnevenEndpointSimulation(daemons, endpoints, 0.5, true, 1).run(UNTIL_MS).p99Ms();
			double ms = new UnevenEndpointSimulation(daemons, endpoints, 0.5, false, 1)
				.misreporting(wrong, (own) -> own.weighted(factor, factor))
				.run(UNTIL_MS)
				.p99Ms();
			assertThat(ms).isLessThanOrEqualTo(MAX_RATIO * exactMs);
		}
	}

}
