package org.comfreyslip.entry.duty;

import java.util.List;
import java.util.Optional;
import java.util.concurrent.TimeUnit;

import org.junit.jupiter.api.Tag;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Tests of the placement duty. They guard against two daemons that may give orders at the
 * same time, and against a long time without any after the holder has ended.
 */
class PlacementDutyTests {

	private static final long LONGEST_GAP_MS = 500;

	private static long ms(long ms) {
		return TimeUnit.MILLISECONDS.toNanos(ms);
	}

	private static void endInSeries(int daemons, int dataCentres, int ends, long seed) {
		DutySimulation simulation = new DutySimulation(daemons, dataCentres, seed);
		simulation.runFor(8_000);
		assertThat(simulation.msWithoutOrders()).isLessThanOrEqualTo(LONGEST_GAP_MS);
		for (int end = 0; end < ends; end++) {
			simulation.endOne();
			simulation.runFor(1_700);
		}
		assertThat(simulation.msWithoutOrders()).isLessThanOrEqualTo(LONGEST_GAP_MS);
		assertThat(simulation.longestGapMs).as("seed %s", seed).isLessThanOrEqualTo(LONGEST_GAP_MS);
	}

	@ParameterizedTest
	@CsvSource({ "7, 3, 10", "95, 5, 3", "390, 7, 1" })
	void theDutyMovesInTimeWhenDaemonsEndAndRejoinInSeries(int daemons, int dataCentres, int seeds) {
		for (long seed = 1; seed <= seeds; seed++) {
			endInSeries(daemons, dataCentres, 20, seed);
		}
	}

	@ParameterizedTest
	@CsvSource({ "7, 3, 200", "95, 5, 50", "390, 7, 10" })
	@Tag("long")
	void theDutyMovesInTimeWhenDaemonsEndAndRejoinWithManySeeds(int daemons, int dataCentres, int seeds) {
		theDutyMovesInTimeWhenDaemonsEndAndRejoinInSeries(daemons, dataCentres, seeds);
	}

	@Test
	void appendsThatAreLostOrLateLeadToNoSecondHolder() {
		for (long seed = 1; seed <= 50; seed++) {
			DutySimulation simulation = new DutySimulation(7, 3, seed);
			simulation.lossRate = 0.2;
			for (int end = 0; end < 15; end++) {
				simulation.runFor(1_700);
				simulation.endOne();
			}
			simulation.lossRate = 0;
			simulation.runFor(10_000);
			assertThat(simulation.msWithoutOrders()).as("seed %s", seed).isLessThanOrEqualTo(LONGEST_GAP_MS);
		}
	}

	@Test
	void aStoreThatIsDownOrComesBackOlderLeadsToNoSecondHolder() {
		for (long seed = 1; seed <= 50; seed++) {
			DutySimulation simulation = new DutySimulation(7, 3, seed);
			for (int outage = 0; outage < 5; outage++) {
				simulation.runFor(4_000);
				simulation.goBack(outage * 3);
				simulation.endOne();
				simulation.runFor(100 + 7 * seed);
				simulation.storeUp = false;
				simulation.runFor(3_000);
				assertThat(simulation.msWithoutOrders()).isGreaterThan(500);
				simulation.endOne();
				simulation.storeUp = true;
			}
			simulation.runFor(10_000);
			assertThat(simulation.msWithoutOrders()).as("seed %s", seed).isLessThanOrEqualTo(LONGEST_GAP_MS);
		}
	}

	// Guards against a standby that starts to wait anew when the record that it knows has
	// been dropped at the end of its retention.
	@Test
	void aRecordThatIsNoLongerRetainedIsNotTakenForThatOfAnotherDaemon() {
		PlacementDuty standby = new PlacementDuty("b", 0);
		standby.onNotice(new DutyNotice("a", 1, 7, 250, false, 0, 0), ms(10));
		for (long timeMs = 40; timeMs <= 160; timeMs += 40) {
			standby.takeCall(true, false, ms(2_000), 1, ms(timeMs))
				.ifPresent((call) -> standby.onLastRecord(1, 7, Optional.empty(), ms(165)));
		}
		Optional<DutyCall> claim = standby.takeCall(true, false, ms(2_000), 1, ms(210));
		assertThat(claim).containsInstanceOf(DutyCall.Append.class);
		standby.onAppended(1, 8, ms(215));
		assertThat(standby.hasWaited(ms(261))).isTrue();
	}

	@Test
	void aDaemonThatJoinsDoesNotDisplaceTheHolder() {
		DutySimulation simulation = new DutySimulation(95, 5, 1);
		simulation.runFor(8_000);
		DutySimulation.Daemon holder = simulation.holder();
		simulation.restartOthers(200);
		assertThat(simulation.holder()).isSameAs(holder);
		assertThat(simulation.longestGapMs).isLessThanOrEqualTo(LONGEST_GAP_MS);
	}

	@Test
	void noDaemonClaimsWhileOneOfAnEarlierReleaseIsAlive() {
		DutySimulation simulation = new DutySimulation(7, 3, 1);
		simulation.startEarlierRelease();
		simulation.runFor(20_000);
		assertThat(simulation.recordCount()).isZero();
		simulation.earlierRelease = false;
		simulation.runFor(TimeUnit.NANOSECONDS.toMillis(ReleaseWatch.LEASE_NANOS));
		assertThat(simulation.recordCount()).isZero();
		simulation.runFor(10_000);
		assertThat(simulation.msWithoutOrders()).isLessThanOrEqualTo(LONGEST_GAP_MS);
		simulation.earlierRelease = true;
		simulation.runFor(1_000);
		int records = simulation.recordCount();
		simulation.runFor(10_000);
		assertThat(simulation.recordCount()).isEqualTo(records);
	}

	private static PlacementDuty holder(long waitMs) {
		PlacementDuty duty = new PlacementDuty("b", 0);
		duty.onNotice(new DutyNotice("a", 1, 7, waitMs, true, 0, 0), ms(1));
		duty.takeCall(true, true, 0, 0, ms(10));
		duty.onAppended(1, 8, ms(12));
		return duty;
	}

	@Test
	void aClaimStatesTheWaitOfTheRecordBeforeIfThatIsLonger() {
		PlacementDuty standby = new PlacementDuty("b", 0);
		standby.onNotice(new DutyNotice("a", 1, 7, 1_000, true, 0, 0), ms(10));
		assertThat(standby.takeCall(true, true, 0, 0, ms(20)))
			.contains(new DutyCall.Append(8, new DutyRecord("b", 1, 1, 1_000, false)));
	}

	@Test
	void anAppendInANewEraLeadsToTheLongestWait() {
		PlacementDuty duty = holder(0);
		assertThat(duty.mayOrder(ms(20))).isTrue();
		duty.takeCall(true, true, 0, 0, ms(200));
		duty.onAppended(2, 9, ms(210));
		assertThat(duty.mayOrder(ms(211))).isFalse();
		assertThat(duty.noticeTo(0)).map(DutyNotice::waitMs).contains(PlacementDuty.MAX_WINDOW_MS);
		assertThat(duty.takeCall(true, true, 0, 0, ms(2_209))).isEmpty();
		assertThat(duty.takeCall(true, true, 0, 0, ms(2_210))).isPresent();
	}

	@Test
	void aRecordOfAnEarlierEraHasTheLongestWait() {
		PlacementDuty duty = new PlacementDuty("b", 0);
		duty.takeCall(true, true, 0, 0, ms(1));
		duty.onLastRecord(2, 5, Optional.of(new DutyRecord("a", 1, 1, 0, true)), ms(10));
		duty.takeCall(true, true, 0, 0, ms(11));
		duty.onAppended(2, 6, ms(12));
		assertThat(duty.mayOrder(ms(13))).isFalse();
		assertThat(duty.noticeTo(0)).map(DutyNotice::waitMs).contains(PlacementDuty.MAX_WINDOW_MS);
	}

	@Test
	void aHolderWhoseReleaseHasNoAnswerGivesNoOrders() {
		PlacementDuty duty = holder(0);
		assertThat(duty.takeCall(false, true, 0, 0, ms(20))).isPresent();
		duty.onNoAnswer();
		duty.takeCall(true, true, 0, 0, ms(30));
		assertThat(duty.mayOrder(ms(30))).isFalse();
	}

	@Test
	void theWindowOfARecordThatIsReadBackCountsFromItsFirstSending() {
		PlacementDuty duty = new PlacementDuty("b", 0);
		duty.onNotice(new DutyNotice("a", 1, 7, 0, true, 0, 0), ms(1));
		DutyRecord claim = ((DutyCall.Append) duty.takeCall(true, true, 0, 0, ms(10)).get()).content();
		duty.onNoAnswer();
		duty.takeCall(true, true, 0, 0, ms(90));
		duty.onConflict();
		duty.takeCall(true, true, 0, 0, ms(95));
		duty.onLastRecord(1, 8, Optional.of(claim), ms(100));
		assertThat(duty.mayOrder(ms(259))).isTrue();
		assertThat(duty.mayOrder(ms(260))).isFalse();
	}

	@Test
	void theFirstStandbyClaimsAtOnceWhenTheHolderGivesTheDutyUp() {
		PlacementDuty standby = new PlacementDuty("b", 0);
		standby.onNotice(new DutyNotice("a", 1, 7, 250, false, 0, 0), ms(10));
		assertThat(standby.takeCall(true, true, ms(2_000), 0, ms(100))).isEmpty();
		standby.onNotice(new DutyNotice("a", 1, 8, 0, true, 0, 0), ms(110));
		assertThat(standby.takeCall(true, true, ms(2_000), 0, ms(110)))
			.contains(new DutyCall.Append(9, new DutyRecord("b", 1, 1, 250, false)));
		standby.onAppended(1, 9, ms(115));
		assertThat(standby.mayOrder(ms(115))).isTrue();
		assertThat(standby.fencingToken()).isEqualTo((1L << 32) + (1L << 31) + 9);
		standby.recordRejectedToken(standby.fencingToken());
		assertThat(standby.mayOrder(ms(115))).isFalse();
	}

	@Test
	void aStandbyThatWasSuspendedDoesNotClaimBeforeItHasListened() {
		PlacementDuty standby = new PlacementDuty("b", 0);
		standby.onNotice(new DutyNotice("a", 1, 7, 250, false, 0, 0), ms(10));
		assertThat(standby.takeCall(true, true, ms(2_000), 0, ms(50))).isEmpty();
		assertThat(standby.takeCall(true, true, ms(2_000), 0, ms(5_000))).isEmpty();
		assertThat(standby.takeCall(true, true, ms(2_000), 0, ms(5_050))).isEmpty();
	}

	@Test
	void aHolderWithoutOrdersMakesNoCalls() {
		PlacementDuty duty = new PlacementDuty("a", 0);
		duty.takeCall(true, false, 0, 0, ms(1));
		duty.onLastRecord(1, -1, Optional.empty(), ms(2));
		duty.takeCall(true, false, 0, 0, ms(2));
		duty.onAppended(1, 0, ms(4));
		for (long now = 5; now < 10_000; now++) {
			assertThat(duty.takeCall(true, false, 0, 0, ms(now))).isEmpty();
		}
		assertThat(duty.mayOrder(ms(10_000))).isFalse();
		assertThat(duty.takeCall(true, true, 0, 0, ms(10_000))).isPresent();
	}

	@Test
	void aSlowStoreDoublesTheWindowUpToItsLimit() {
		PlacementDuty duty = new PlacementDuty("a", 0);
		duty.takeCall(true, true, 0, 0, ms(1));
		duty.onLastRecord(1, -1, Optional.empty(), ms(2));
		long now = 3;
		DutyCall.Append last = null;
		for (int offset = 0; offset < 40; now += 50) {
			Optional<DutyCall> call = duty.takeCall(true, true, 0, 0, ms(now));
			if (call.isPresent()) {
				last = (DutyCall.Append) call.get();
				now += 600;
				duty.onAppended(1, offset++, ms(now));
			}
		}
		assertThat(last.content().waitMs()).isEqualTo(PlacementDuty.MAX_WINDOW_MS);
		assertThat(duty.mayOrder(ms(now))).isTrue();
	}

	@Test
	void recordsAndNoticesAreReadBackAndOtherContentIsIgnored() {
		DutyRecord record = new DutyRecord("a#1", 5, 3, 250, true);
		DutyNotice notice = new DutyNotice("a#1", 3, 8, 250, false, 17, 2);
		assertThat(DutyRecord.decode(record.encode())).contains(record);
		assertThat(DutyNotice.decode(notice.encode())).contains(notice);
		byte[] laterVersion = record.encode();
		laterVersion[0] = 9;
		assertThat(DutyRecord.decode(laterVersion)).isEmpty();
		assertThat(DutyRecord.decode(new byte[0])).isEmpty();
		assertThat(DutyNotice.decode(new byte[] { 4, 0, 9, 1 })).isEmpty();
		assertThat(DutyNotice.decode(new DutyNotice("a", 1, 1, -1, false, 0, 0).encode())).isEmpty();
	}

	@Test
	void recordsAreUsedOnlyAfterTheLastDaemonOfAnEarlierReleaseIsGone() {
		ReleaseWatch watch = new ReleaseWatch();
		watch.onMessage("new", Optional.of(true));
		watch.update(List.of("new", "earlier"), ms(1_000));
		assertThat(watch.knowsNoEarlierRelease()).isFalse();
		assertThat(watch.mayUseRecords(ms(9_000))).isFalse();
		watch.onMessage("new", Optional.of(false));
		watch.update(List.of("new"), ms(10_000));
		assertThat(watch.knowsNoEarlierRelease()).isTrue();
		assertThat(watch.mayUseRecords(ms(20_000))).isFalse();
		watch.onMessage("new", Optional.of(true));
		watch.update(List.of("new"), ms(21_000));
		assertThat(watch.mayUseRecords(ms(23_999))).isFalse();
		assertThat(watch.mayUseRecords(ms(24_000))).isTrue();
		watch.onMessage("new", Optional.empty());
		watch.update(List.of("new"), ms(25_000));
		assertThat(watch.mayUseRecords(ms(25_000))).isFalse();
	}

}
