package org.comfreyslip.entry.duty;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Replays deployments with the real coordinator. They guard against two daemons that give
 * orders at the same time, a long time without any, and calls to the store while there is
 * nothing to order.
 */
class DutyRunnerTests {

	private static final long LONGEST_GAP_MS = 500;

	/**
	 * The first request arrives 15 s after the daemons start; a tenth of the 14 s that
	 * loading takes lies before.
	 */
	private static final long LATEST_FIRST_ORDERS_MS = 13_600;

	@ParameterizedTest
	@ValueSource(longs = { 1, 2, 3, 4, 5, 6, 7, 8, 9, 10 })
	void theDutyMovesInTimeWhenDaemonsLeaveAndRejoinInSeries(long seed) {
		DutyReplay replay = new DutyReplay(7, seed);
		replay.runFor(LATEST_FIRST_ORDERS_MS);
		assertThat(replay.holdsAllLayers()).isTrue();
		assertThat(replay.longestGapMs).isLessThan(LONGEST_GAP_MS);
		for (int end = 0; end < 20; end++) {
			replay.end((end % 2 == 0) ? replay.holder().orElseThrow() : replay.anyDaemon());
			replay.loseEngine();
			replay.runFor(3_400);
			assertThat(replay.longestGapMs).as("end %s", end).isLessThanOrEqualTo(LONGEST_GAP_MS);
			assertThat(replay.msWithoutHolder()).isLessThanOrEqualTo(LONGEST_GAP_MS);
		}
		assertThat(replay.holdsAllLayers()).isTrue();
		assertThat(replay.orderCount).isGreaterThan(20);
	}

	// Guards against standbys that hear of an ended holder from each other for so long
	// that
	// they claim too late.
	@ParameterizedTest
	@ValueSource(longs = { 1, 2, 3, 4, 5 })
	void theDutyMovesInTimeInADataCentreWithManyDaemons(long seed) {
		DutyReplay replay = new DutyReplay(27, seed);
		replay.runFor(LATEST_FIRST_ORDERS_MS);
		for (int end = 0; end < 10; end++) {
			replay.end(replay.holder().orElseThrow());
			replay.runFor(5_000);
			assertThat(replay.longestGapMs).as("end %s", end).isLessThanOrEqualTo(LONGEST_GAP_MS);
		}
	}

	@Test
	void aDeploymentWithNothingToOrderMakesNoCalls() {
		DutyReplay replay = new DutyReplay(7, 1);
		replay.runFor(LATEST_FIRST_ORDERS_MS);
		int calls = replay.callCount;
		replay.runFor(60_000);
		assertThat(replay.callCount).isEqualTo(calls);
		assertThat(replay.msWithoutHolder()).isLessThanOrEqualTo(LONGEST_GAP_MS);
	}

	@Test
	void aStoreThatIsDownDelaysOrdersOnlyUntilItIsBack() {
		for (long seed = 1; seed <= 10; seed++) {
			DutyReplay replay = new DutyReplay(7, seed);
			replay.runFor(LATEST_FIRST_ORDERS_MS);
			replay.storeUp = false;
			replay.end(replay.holder().orElseThrow());
			for (int lost = 0; lost < 6; lost++) {
				replay.loseEngine();
			}
			replay.runFor(6_000);
			replay.storeUp = true;
			replay.runFor(6_000);
			assertThat(replay.msWithoutHolder()).as("seed %s", seed).isLessThanOrEqualTo(LONGEST_GAP_MS);
			assertThat(replay.holdsAllLayers()).as("seed %s", seed).isTrue();
		}
	}

	// Guards against a holder that cannot give the duty up at the store, and is taken for
	// alive because its periodic messages tell of itself.
	@ParameterizedTest
	@ValueSource(longs = { 1, 2, 3, 4, 5 })
	void aHolderThatKnowsThatItDoesNotReachTheStoreIsReplacedInTime(long seed) {
		DutyReplay replay = new DutyReplay(7, seed);
		replay.runFor(LATEST_FIRST_ORDERS_MS);
		DutyReplay.Daemon holder = replay.holder().orElseThrow();
		holder.turnedAway = true;
		holder.obstacle = "the store is not reached";
		replay.runFor(5_000);
		assertThat(replay.longestGapMs).isLessThanOrEqualTo(LONGEST_GAP_MS);
		assertThat(replay.msWithoutHolder()).isLessThanOrEqualTo(LONGEST_GAP_MS);
	}

	// Guards against a holder that is taken for alive and cannot give orders, because the
	// store turns only this daemon away and others read the store for it.
	@ParameterizedTest
	@ValueSource(longs = { 1, 2, 3, 4, 5 })
	void aHolderThatTheStoreTurnsAwayIsReplaced(long seed) {
		DutyReplay replay = new DutyReplay(7, seed);
		replay.runFor(LATEST_FIRST_ORDERS_MS);
		DutyReplay.Daemon holder = replay.holder().orElseThrow();
		holder.turnedAway = true;
		for (int lost = 0; lost < 6; lost++) {
			replay.loseEngine();
		}
		replay.runFor(4_000);
		assertThat(replay.longestGapMs).isLessThanOrEqualTo(LONGEST_GAP_MS);
		assertThat(replay.holder().orElseThrow()).isNotSameAs(holder);
		assertThat(replay.holdsAllLayers()).isTrue();
	}

}
