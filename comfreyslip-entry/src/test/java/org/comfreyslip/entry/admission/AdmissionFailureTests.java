package org.comfreyslip.entry.admission;

import java.nio.ByteBuffer;
import java.util.Arrays;
import java.util.Map;
import java.util.Optional;
import java.util.SplittableRandom;
import java.util.concurrent.TimeUnit;

import org.comfreyslip.entry.admission.ServiceRates.AccountKey;
import org.comfreyslip.entry.admission.ServiceRates.PriorityRates;
import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Plays failures during a shortage. Guards against daemons that refuse all requests, or
 * none but urgent ones, because others are silent or send wrong rates.
 */
class AdmissionFailureTests {

	private static final Map<Integer, ServiceRates> RATES = Map.of(7, new ServiceRates(
			Map.of(0, new PriorityRates(5, 3, 1), 2, new PriorityRates(2, 1, 0)), Map.of(new AccountKey(2, 9), 2.0)));

	private static AdmissionSimulation inShortage() {
		AdmissionSimulation simulation = new AdmissionSimulation(19, 110, 3);
		simulation.play(15_000);
		simulation.resetCounts();
		return simulation;
	}

	private static void assertOrder(AdmissionSimulation played) {
		assertThat(played.servedPart(0)).isGreaterThanOrEqualTo(played.servedPart(1) - 0.02);
		assertThat(played.servedPart(1)).isGreaterThanOrEqualTo(played.servedPart(2) - 0.02);
		assertThat(played.servedPart(0)).isGreaterThan(played.servedPart() + 0.05);
		assertThat(played.servedPart(2)).isGreaterThanOrEqualTo(played.servedPart() / 4);
		assertThat(played.refusedWhileFree).isLessThanOrEqualTo(played.refused / 100);
	}

	@Test
	void daemonsThatHearNothingOfOthersDecideFromTheirOwnRates() {
		AdmissionSimulation played = inShortage();
		played.connected = false;
		played.play(5_000);
		played.resetCounts();
		played.play(120_000);
		assertOrder(played);
		played.connected = true;
		played.play(5_000);
		played.resetCounts();
		played.play(60_000);
		assertOrder(played);
	}

	@Test
	void daemonsThatDoNotTakePartLeaveTheOrderAmongTheOthers() {
		AdmissionSimulation played = inShortage();
		played.firstOldDaemon = 10;
		played.play(5_000);
		played.resetCounts();
		played.play(120_000);
		assertOrder(played);
	}

	@Test
	void daemonsThatDoNotKnowTheFreeRoomDecideFromTheRatesAlone() {
		AdmissionSimulation played = inShortage();
		played.roomKnown = false;
		played.play(5_000);
		played.resetCounts();
		played.play(120_000);
		assertOrder(played);
	}

	@Test
	void aRestartedDaemonHoldsNothingBackUntilItKnowsOfTheShortage() {
		AdmissionSimulation played = inShortage();
		AdmissionSimulation.Daemon restarted = played.daemons.get(4);
		restarted.restart();
		for (int index = 0; index < 50; index++) {
			assertThat(restarted.control.decide("model", 2, "a", 1, false, () -> 0, played.nowNanos()))
				.isEqualTo(Decision.ADMIT);
		}
		played.play(4_000);
		assertThat(restarted.control.share("model", played.nowNanos())).isLessThan(1);
	}

	@Test
	void aRequestThatReturnsWhenItWasToldToIsNeverHeldBack() {
		AdmissionSimulation played = inShortage();
		for (int index = 0; index < 200; index++) {
			assertThat(
					played.daemons.get(0).control.decide("model", 2, "account-1", 1, true, () -> 0, played.nowNanos()))
				.isEqualTo(Decision.ADMIT);
		}
	}

	@Test
	void aBlockIsReadAsItWasWrittenAndIgnoredIfItIsDamaged() {
		byte[] block = AdmissionBlock.encode(RATES);
		assertThat(AdmissionBlock.decode(block)).contains(RATES);
		for (int length = 0; length < block.length; length++) {
			assertThat(AdmissionBlock.decode(Arrays.copyOf(block, length))).isEmpty();
		}
		byte[] otherVersion = block.clone();
		otherVersion[0]++;
		assertThat(AdmissionBlock.decode(otherVersion)).isEmpty();
		int rateAt = 1 + 1 + 4 + 1 + 1;
		for (float wrong : new float[] { Float.NaN, Float.POSITIVE_INFINITY, -1 }) {
			byte[] forged = block.clone();
			ByteBuffer.wrap(forged).putFloat(rateAt, wrong);
			assertThat(AdmissionBlock.decode(forged)).isEmpty();
		}
		SplittableRandom random = new SplittableRandom(1);
		for (int index = 0; index < 10_000; index++) {
			byte[] noise = new byte[random.nextInt(400)];
			random.nextBytes(noise);
			AdmissionBlock.decode(noise);
		}
	}

	@Test
	void forgedRatesLowerTheShareToItsMinimumAtMostAndOnlyWhileTheyArrive() {
		AdmissionControl control = new AdmissionControl("a", new SplittableRandom(1));
		control.decide("model", 0, "a", 1, false, () -> 0, 0);
		control.decide("model", 2, "b", 1, false, () -> 0, 0);
		control.recordNoCapacity("model", 2, 1, 0);
		byte[] own = control.content(0).orElseThrow();
		int service = ByteBuffer.wrap(own).getInt(2);
		byte[] forged = AdmissionBlock
			.encode(Map.of(service, new ServiceRates(Map.of(0, new PriorityRates(1e30, 0, 1e30)), Map.of())));
		long nowNanos = 0;
		for (int index = 0; index < 100; index++) {
			nowNanos += TimeUnit.MILLISECONDS.toNanos(200);
			control.onContent("forger", "a", Optional.of(forged), nowNanos);
			control.decide("model", 0, "a", 1, false, () -> 0, nowNanos);
			assertThat(control.share("model", nowNanos)).isGreaterThanOrEqualTo(0.05);
		}
		nowNanos += ServiceAdmission.SHORTAGE_NANOS;
		assertThat(control.decide("model", 2, "b", 1, false, () -> 0, nowNanos)).isEqualTo(Decision.ADMIT);
		assertThat(control.share("model", nowNanos)).isEqualTo(1);
	}

}
