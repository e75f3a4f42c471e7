package org.comfreyslip.entry.admission;

import org.junit.jupiter.api.Tag;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Replays demand above capacity. Guards against urgent streams that are refused like
 * others, accounts that take the capacity of others, kinds that starve, and refusals
 * while capacity is free.
 */
class AdmissionReplayTests {

	private static final long WARM_UP_MS = 10_000;

	private static AdmissionSimulation simulation(int daemons, long seed) {
		return new AdmissionSimulation(daemons, (daemons < 50) ? 110 : 300, seed);
	}

	private static void assertServedByUrgency(AdmissionSimulation played) {
		for (int priority = 0; priority < 3; priority++) {
			assertThat(played.servedPart(priority)).isGreaterThanOrEqualTo(played.servedPart() / 4);
		}
		assertThat(played.servedPart(0)).isGreaterThanOrEqualTo(played.servedPart(1) - 0.02);
		assertThat(played.servedPart(1)).isGreaterThanOrEqualTo(played.servedPart(2) - 0.02);
		assertThat(played.servedPart(0)).isGreaterThanOrEqualTo(played.servedPart() + 0.05);
	}

	private static void assertLittleRefusedWhileFree(AdmissionSimulation played) {
		assertThat(played.refusedWhileFree).isLessThanOrEqualTo(played.refused / 100);
	}

	// The second priority is the one for which capacity runs out.
	private static AdmissionSimulation playShortage(int daemons, long seed, double demand) {
		AdmissionSimulation played = simulation(daemons, seed);
		played.demand = new double[] { 0.5 + (demand - 1.5) / 15, 0.6 + (demand - 1.5) / 2, 0 };
		played.demand[2] = demand - played.demand[0] - played.demand[1];
		played.play(WARM_UP_MS);
		played.resetCounts();
		played.play((daemons < 50) ? 600_000 : 120_000);
		return played;
	}

	private static void assertAccountsServedFairly(AdmissionSimulation played) {
		assertThat(played.leastPartOfFairShare(1)).isGreaterThanOrEqualTo(0.75);
	}

	@ParameterizedTest
	@CsvSource({ "19, 1, 1.5", "19, 3, 3", "95, 4, 1.5", "95, 5, 2", "95, 6, 3" })
	void lastingShortageIsDividedByUrgencyThenByAccount(int daemons, long seed, double demand) {
		AdmissionSimulation played = playShortage(daemons, seed, demand);
		assertServedByUrgency(played);
		assertAccountsServedFairly(played);
		assertLittleRefusedWhileFree(played);
		assertThat(played.largestBlock).isPositive().isLessThan(1_000);
	}

	@Test
	void lastingShortageOfFewDaemonsIsDividedByUrgency() {
		AdmissionSimulation played = playShortage(19, 2, 2);
		assertServedByUrgency(played);
		assertLittleRefusedWhileFree(played);
	}

	@Tag("known-red")
	@Test
	void lastingShortageOfFewDaemonsIsDividedFairlyAmongAccounts() {
		assertAccountsServedFairly(playShortage(19, 2, 2));
	}

	private static AdmissionSimulation playBursts(int daemons, long seed, int kind, double factor, long ms) {
		AdmissionSimulation played = simulation(daemons, seed);
		played.demand = new double[] { 0.45, 0.45, 0.35 };
		played.play(WARM_UP_MS);
		played.resetCounts();
		for (int burst = 0; burst < 12; burst++) {
			played.demand[kind] *= factor;
			played.play(ms);
			played.demand[kind] /= factor;
			played.play(2_000);
		}
		return played;
	}

	@ParameterizedTest
	@CsvSource({ "19, 1", "95, 3" })
	void burstsOfTheLeastUrgentKindTakeNothingFromOthers(int daemons, long seed) {
		AdmissionSimulation played = playBursts(daemons, seed, 2, 2.5, 6_000);
		assertServedByUrgency(played);
		assertLittleRefusedWhileFree(played);
	}

	@ParameterizedTest
	@CsvSource({ "19, 2", "95, 4" })
	void burstsOfTheMostUrgentKindAreServedFirst(int daemons, long seed) {
		assertServedByUrgency(playBursts(daemons, seed, 0, 1.8, 3_500));
	}

	@ParameterizedTest
	@CsvSource({ "19, 2", "95, 4" })
	void littleIsRefusedWhileCapacityIsFreeAfterBurstsOfTheMostUrgentKind(int daemons, long seed) {
		assertLittleRefusedWhileFree(playBursts(daemons, seed, 0, 1.8, 3_500));
	}

	private static AdmissionSimulation playLossAndReturn(int daemons, long seed) {
		AdmissionSimulation played = simulation(daemons, seed);
		played.demand = new double[] { 0.25, 0.35, 0.3 };
		played.play(WARM_UP_MS);
		played.capacityPart = 2 / 3.0;
		played.play(12_000);
		played.capacityPart = 1;
		played.play(10_000);
		return played;
	}

	@ParameterizedTest
	@CsvSource({ "19, 1", "19, 2", "95, 3", "95, 4" })
	void nothingIsHeldBackOnceCapacityHasReturned(int daemons, long seed) {
		AdmissionSimulation played = playLossAndReturn(daemons, seed);
		assertThat(played.heldBack).isPositive();
		played.demand = new double[] { 0.2, 0.3, 0.25 };
		played.play(5_000);
		played.resetCounts();
		played.play(10_000);
		assertThat(played.heldBack).isZero();
	}

	@Tag("known-red")
	@ParameterizedTest
	@CsvSource({ "19, 1", "19, 2", "95, 3", "95, 4" })
	void littleIsRefusedWhileCapacityReturns(int daemons, long seed) {
		assertLittleRefusedWhileFree(playLossAndReturn(daemons, seed));
	}

	@ParameterizedTest
	@ValueSource(longs = { 1, 2 })
	void nothingIsHeldBackWithoutShortage(long seed) {
		AdmissionSimulation played = simulation(19, seed);
		played.demand = new double[] { 0.2, 0.3, 0.2 };
		played.play(60_000);
		assertThat(played.heldBack).isZero();
		assertThat(played.largestBlock).isZero();
	}

	@Test
	void nothingIsHeldBackIfAllRequestsAreOfOnePriorityAndAccount() {
		AdmissionSimulation played = simulation(19, 1);
		played.demand = new double[] { 0, 2, 0 };
		played.accounts = 1;
		played.play(30_000);
		assertThat(played.refused).isPositive();
		assertThat(played.heldBack).isZero();
	}

	private static AdmissionSimulation playOtherRefusals(int daemons, long seed, boolean enabled) {
		AdmissionSimulation played = simulation(daemons, seed);
		played.enabled = enabled;
		played.otherRefusals = 0.1;
		played.play(WARM_UP_MS);
		played.resetCounts();
		played.play(60_000);
		return played;
	}

	@ParameterizedTest
	@CsvSource({ "19, 11", "95, 12" })
	void refusalsForOtherReasonsDoNotLowerWhatIsServedAtTwiceTheCapacity(int daemons, long seed) {
		AdmissionSimulation with = playOtherRefusals(daemons, seed, true);
		assertThat(with.servedPart())
			.isGreaterThanOrEqualTo(0.95 * playOtherRefusals(daemons, seed, false).servedPart());
		assertServedByUrgency(with);
		assertLittleRefusedWhileFree(with);
	}

	@ParameterizedTest
	@CsvSource({ "19, 13, true", "95, 14, true", "19, 13, false", "95, 14, false" })
	void refusalsForOtherReasonsBelowTheCapacityHoldNothingBack(int daemons, long seed, boolean causesKnown) {
		AdmissionSimulation played = simulation(daemons, seed);
		played.otherRefusals = 0.1;
		played.causesKnown = causesKnown;
		played.demand = new double[] { 0.2, 0.3, 0.2 };
		played.play(60_000);
		assertThat(played.refused).isPositive();
		assertThat(played.heldBack).isZero();
	}

	// Each part of the pool has room for ten streams of mean size.
	@ParameterizedTest
	@CsvSource({ "19, 15, 1.5", "19, 16, 2", "19, 17, 3", "95, 18, 2" })
	void largeRequestsAreServedAtLeastHalfAsOftenAsAll(int daemons, long seed, double demand) {
		AdmissionSimulation played = simulation(daemons, seed);
		played.parts = played.streams / 10;
		played.demand = new double[] { 0.3 * demand, 0.4 * demand, 0.3 * demand };
		played.play(WARM_UP_MS);
		played.resetCounts();
		played.play(60_000);
		for (int priority = 0; priority < 3; priority++) {
			assertThat(played.servedPartOfLarge(priority)).isGreaterThanOrEqualTo(played.servedPart(priority) / 2);
		}
	}

}
