package org.comfreyslip.entry.reach;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.PriorityQueue;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.concurrent.TimeUnit;
import java.util.stream.IntStream;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Tests of 19 daemons and 28 engines, some of which go dark (connections hang), in
 * simulated time. They guard against daemons that take the failure of endpoints for a
 * loss of the whole service, and against a real loss that is found late.
 */
class FailedEndpointsTests {

	private static final int DAEMONS = 19;

	private static final int SEEDS = 50;

	private static final long DETECTION_MS = 400;

	private static final long TRIAL_TIMEOUT_MS = 300;

	private static final long OPENED_MS = 52;

	private static final List<String> ENDPOINTS = IntStream.range(0, 28).mapToObj((index) -> "e" + index).toList();

	@ParameterizedTest
	@CsvSource({ "4, false", "4, true", "8, false", "8, true" })
	void endpointsThatGoDarkAreNotTakenForALossOfTheService(int darkCount, boolean mostSoundOnesAvoided) {
		for (long seed = 1; seed <= SEEDS; seed++) {
			Fleet fleet = new Fleet(seed, mostSoundOnesAvoided);
			fleet.goDark(ENDPOINTS.subList(0, 4));
			fleet.runUntil(2_500);
			fleet.goDark(ENDPOINTS.subList(0, darkCount));
			fleet.runUntil(10_000);
			assertThat(fleet.losses).as("losses with seed %s", seed).isEmpty();
		}
	}

	@ParameterizedTest
	@CsvSource({ "0, true", "0, false", "4, true", "4, false" })
	void aDaemonThatIsCutOffFindsTheLossInTime(int darkCount, boolean hanging) {
		for (long seed = 1; seed <= SEEDS; seed++) {
			Fleet fleet = new Fleet(seed, false);
			fleet.hanging = hanging;
			fleet.goDark(ENDPOINTS.subList(0, darkCount));
			fleet.cutOff = true;
			fleet.runUntil(2_000);
			assertThat(fleet.losses).hasSize(DAEMONS);
			fleet.losses.forEach((daemon, lostMs) -> assertThat(lostMs - fleet.firstDoubts.get(daemon))
				.isLessThanOrEqualTo(DETECTION_MS));
		}
	}

	@Test
	void aTrialOfAnEarlierDoubtDoesNotCountForTheNextOne() {
		EndpointReach reach = new EndpointReach(new SplittableRandom(1));
		reach.doubt("s", 0);
		List<String> first = reach.takeTrials("s", ENDPOINTS, 0);
		reach.onTrialDone("s", first.get(0), true, ENDPOINTS, nanos(OPENED_MS));
		reach.doubt("s", nanos(200));
		first.subList(1, first.size())
			.forEach((id) -> reach.onTrialDone("s", id, false, ENDPOINTS, nanos(TRIAL_TIMEOUT_MS)));
		assertThat(reach.isLost("s")).isFalse();
		assertThat(reach.takeTrials("s", ENDPOINTS, nanos(TRIAL_TIMEOUT_MS))).hasSize(ServiceReach.DECIDING_TRIALS);
	}

	@Test
	void moreFailuresAreNeededWhileAnswersArriveOnExistingConnections() {
		EndpointReach reach = new EndpointReach(new SplittableRandom(1));
		reach.doubt("s", 0);
		List<String> trials = new ArrayList<>(reach.takeTrials("s", ENDPOINTS, 0));
		reach.onContact("s", nanos(30));
		trials.addAll(reach.takeTrials("s", ENDPOINTS, ServiceReach.EXTENSION_NANOS));
		assertThat(trials).hasSizeGreaterThan(2 * ENDPOINTS.size() / 3).doesNotHaveDuplicates();
		trials.forEach((id) -> reach.onTrialDone("s", id, false, ENDPOINTS, nanos(TRIAL_TIMEOUT_MS)));
		assertThat(reach.isLost("s")).isTrue();
	}

	private static long nanos(long ms) {
		return TimeUnit.MILLISECONDS.toNanos(ms);
	}

	/** Daemons that send requests to random endpoints and avoid those that failed. */
	private static final class Fleet {

		private static final long STEP_MS = 20;

		/** Time after which a connection that does not open raises a doubt, in ms. */
		private static final long SLOW_CONNECT_MS = 150;

		private static final long BACKOFF_MS = 600;

		private final PriorityQueue<Event> events = new PriorityQueue<>();

		private final List<EndpointReach> daemons = new ArrayList<>();

		private final Set<String> dark = new HashSet<>();

		/** Time in ms until which all daemons avoid an endpoint. */
		private final Map<String, Long> avoidedUntil = new HashMap<>();

		private final Map<Integer, Long> losses = new HashMap<>();

		private final Map<Integer, Long> firstDoubts = new HashMap<>();

		private final SplittableRandom random;

		private final boolean mostSoundOnesAvoided;

		private boolean hanging = true;

		private boolean cutOff;

		private long now;

		Fleet(long seed, boolean mostSoundOnesAvoided) {
			this.random = new SplittableRandom(seed);
			this.mostSoundOnesAvoided = mostSoundOnesAvoided;
			for (int daemon = 0; daemon < DAEMONS; daemon++) {
				this.daemons.add(new EndpointReach(this.random.split()));
				int number = daemon;
				at(this.random.nextInt((int) STEP_MS), () -> step(number));
			}
		}

		void goDark(List<String> ids) {
			this.dark.addAll(ids);
		}

		private void at(long timeMs, Runnable action) {
			this.events.add(new Event(timeMs, this.random.nextLong(), action));
		}

		void runUntil(long endMs) {
			while (this.events.peek().timeMs() < endMs) {
				Event next = this.events.poll();
				this.now = next.timeMs();
				next.action().run();
			}
		}

		private boolean isSilent(String id) {
			return this.cutOff || this.dark.contains(id);
		}

		private boolean isAvoided(String id) {
			boolean recovering = this.mostSoundOnesAvoided && !this.dark.contains(id) && id.hashCode() % 5 != 0;
			return recovering || this.avoidedUntil.getOrDefault(id, 0L) > this.now;
		}

		// Sends a request to an endpoint that is not avoided, and starts the trials due.
		private void step(int daemon) {
			at(this.now + STEP_MS, () -> step(daemon));
			List<String> sound = ENDPOINTS.stream().filter((id) -> !isAvoided(id)).toList();
			if (!sound.isEmpty() && this.random.nextInt(3) == 0) {
				String id = sound.get(this.random.nextInt(sound.size()));
				if (isSilent(id)) {
					at(this.now + ((this.hanging) ? SLOW_CONNECT_MS : 2), () -> doubt(daemon));
					at(this.now + TRIAL_TIMEOUT_MS, () -> this.avoidedUntil.put(id, this.now + BACKOFF_MS));
				}
			}
			startTrials(daemon);
		}

		private void doubt(int daemon) {
			this.firstDoubts.putIfAbsent(daemon, this.now);
			this.daemons.get(daemon).doubt("s", nanos(this.now));
			startTrials(daemon);
		}

		private void startTrials(int daemon) {
			EndpointReach reach = this.daemons.get(daemon);
			for (String id : reach.takeTrials("s", ENDPOINTS, this::isAvoided, nanos(this.now))) {
				boolean opens = !isSilent(id);
				boolean fast = !this.hanging && !this.dark.contains(id);
				long failMs = (fast) ? 2 : TRIAL_TIMEOUT_MS;
				at(this.now + ((opens) ? OPENED_MS : failMs), () -> {
					reach.onTrialDone("s", id, opens, ENDPOINTS, nanos(this.now));
					if (reach.isLost("s")) {
						this.losses.putIfAbsent(daemon, this.now);
					}
					startTrials(daemon);
				});
			}
		}

	}

	private record Event(long timeMs, long number, Runnable action) implements Comparable<Event> {

		@Override
		public int compareTo(Event other) {
			return (this.timeMs != other.timeMs) ? Long.compare(this.timeMs, other.timeMs)
					: Long.compare(this.number, other.number);
		}

	}

}
