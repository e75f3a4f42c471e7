package org.comfreyslip.entry.blame;

import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.function.Predicate;

import org.junit.jupiter.api.Tag;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatCode;

/**
 * Plays requests that crash engines, and crashes without a cause in any request, with
 * daemons that tell each other what they saw. Guards against requests that go on to crash
 * engines, and against sound requests that are refused instead.
 */
class SharedCrashBlameTests {

	/** Number of crashes from which the cause must be known after a contact time. */
	private static final int KNOWN_FROM_CRASHES = 5;

	/** Number of crashes from which one request must be known in the same way. */
	private static final int REQUEST_KNOWN_FROM_CRASHES = 3;

	/** Sends that may still reach engines then. */
	private static final int ALLOWED_ARRIVALS = 3;

	private static final long BAD_FROM_MS = 12_000;

	private static final long LENGTH_MS = 60_000;

	private static final Predicate<Set<String>> IS_BAD = (traits) -> traits.contains("bad");

	private static final Predicate<Set<String>> IS_SOUND = IS_BAD.negate();

	private long seed = 7;

	private CrashSimulation simulation;

	private int partCount;

	private int requestCount;

	// Starts daemons whose callers send sound requests: of two kinds, on subjects of
	// which
	// some are asked for often.
	private void start(int daemonCount) {
		int engineCount = Math.max(6, daemonCount / 2);
		this.simulation = new CrashSimulation(daemonCount, engineCount, this.seed);
		this.simulation.sendRequests(6.0 * daemonCount, 0, LENGTH_MS, this::soundTraits);
	}

	private Set<String> soundTraits() {
		double skewed = Math.pow(this.simulation.random().nextDouble(), 3);
		this.requestCount++;
		return Set.of("kind" + this.simulation.random().nextInt(2), "subject" + (int) (skewed * 300),
				"model/request/" + this.requestCount);
	}

	// Returns the traits of a request that crashes its engine, with other parts than the
	// ones before, which sound requests also have.
	private Set<String> badTraits() {
		Set<String> traits = new HashSet<>(soundTraits());
		traits.add("bad");
		return traits;
	}

	private void sendBadRequests(double perSecond) {
		this.simulation.setCrashes(IS_BAD);
		this.simulation.sendRequests(perSecond, BAD_FROM_MS, LENGTH_MS, this::badTraits);
	}

	private long boundFromMs() {
		List<Long> crashes = this.simulation.crashTimesMs();
		return crashes.get(Math.min(crashes.size(), KNOWN_FROM_CRASHES) - 1) + CrashSimulation.CONTACT_MS;
	}

	private void assertThatBadRequestsAreKeptFromEngines() {
		assertThat(this.simulation.crashTimesMs()).isNotEmpty();
		assertThat(this.simulation.countArrivals(IS_BAD, boundFromMs())).isLessThanOrEqualTo(ALLOWED_ARRIVALS);
	}

	private void assertThatSoundRequestsBeginAsBefore() {
		long fromMs = boundFromMs() + CrashSimulation.CONTACT_MS;
		double before = this.simulation.shareBegun(IS_SOUND, 0, BAD_FROM_MS);
		assertThat(this.simulation.shareBegun(IS_SOUND, fromMs, LENGTH_MS)).isGreaterThan(0.9 * before);
		assertThat(this.simulation.countRefused(IS_SOUND, 0)).isZero();
	}

	@ParameterizedTest
	@CsvSource({ "7, 0.5", "7, 1", "7, 4", "95, 1", "95, 4", "390, 1", "390, 10" })
	void requestsWithAPartThatCrashedFiveEnginesReachNoMoreEngines(int daemonCount, double perSecond) {
		start(daemonCount);
		sendBadRequests(perSecond);
		this.simulation.play(LENGTH_MS);
		assertThatBadRequestsAreKeptFromEngines();
		assertThatSoundRequestsBeginAsBefore();
	}

	@ParameterizedTest
	@ValueSource(ints = { 7, 95, 390 })
	void thePartStaysKnownWhileDaemonsAreCutOffFrozenAndRestarted(int daemonCount) {
		start(daemonCount);
		sendBadRequests(2);
		List<String> names = this.simulation.daemonNames();
		for (int index = 0; index < daemonCount / 2; index++) {
			String name = names.get(index);
			long atMs = 10_000 + this.simulation.random().nextInt(35_000);
			switch (index % 3) {
				case 0 -> this.simulation.at(atMs, () -> this.simulation.cutOff(name, 4_000));
				case 1 -> this.simulation.at(atMs, () -> this.simulation.freeze(name, 5_000));
				default -> this.simulation.at(atMs, () -> this.simulation.restart(name));
			}
		}
		this.simulation.play(LENGTH_MS);
		assertThatBadRequestsAreKeptFromEngines();
		assertThatSoundRequestsBeginAsBefore();
	}

	@ParameterizedTest
	@CsvSource({ "7, 1", "7, 2", "7, 5" })
	void thePartIsFoundAgainAfterAllDaemonsRestarted(int daemonCount, double perSecond) {
		restartAllDaemons(daemonCount, perSecond, 10);
	}

	@Tag("long")
	@ParameterizedTest
	@CsvSource({ "7, 1", "7, 2", "7, 5" })
	void thePartIsFoundAgainAfterAllDaemonsRestartedWithFiftySeeds(int daemonCount, double perSecond) {
		restartAllDaemons(daemonCount, perSecond, 50);
	}

	private void restartAllDaemons(int daemonCount, double perSecond, int seeds) {
		for (this.seed = 1; this.seed <= seeds; this.seed++) {
			start(daemonCount);
			sendBadRequests(perSecond);
			this.simulation.at(30_000, () -> this.simulation.daemonNames().forEach(this.simulation::restart));
			this.simulation.play(LENGTH_MS);
			assertThatBadRequestsAreKeptFromEngines();
			assertThat(this.simulation.countRefused(IS_SOUND, 0)).isZero();
		}
	}

	@ParameterizedTest
	@CsvSource({ "7, 1", "7, 4", "95, 1", "95, 20", "390, 1", "390, 60" })
	void hostsThatAreKilledWithManyRequestsConvictNone(int daemonCount, int enginesAtOnce) {
		start(daemonCount);
		for (int kill = 0; kill < 12; kill++) {
			this.simulation.at(8_000 + kill * 3_300L, () -> this.simulation.killEngines(enginesAtOnce));
		}
		this.simulation.play(LENGTH_MS);
		assertThat(this.simulation.countRefused((traits) -> true, 0)).isZero();
		assertThat(this.simulation.mostConvictions()).isZero();
	}

	@ParameterizedTest
	@ValueSource(ints = { 7, 95, 390 })
	void hostsThatAreKilledOneAfterTheOtherConvictNone(int daemonCount) {
		start(daemonCount);
		for (int kill = 0; kill < 5; kill++) {
			this.simulation.at(20_000 + kill * 150L, () -> this.simulation.killEngines(1));
		}
		this.simulation.play(LENGTH_MS);
		assertThat(this.simulation.countRefused((traits) -> true, 0)).isZero();
	}

	@ParameterizedTest
	@ValueSource(ints = { 7, 95 })
	void aPartThatNoLongerCrashesEnginesIsServedAgain(int daemonCount) {
		start(daemonCount);
		sendBadRequests(2);
		this.simulation.at(20_000, () -> this.simulation.setCrashes((traits) -> false));
		this.simulation.play(LENGTH_MS);
		assertThat(this.simulation.countRefused(IS_BAD, 0)).isPositive();
		assertThat(this.simulation.countRefused(IS_BAD, 52_000)).isZero();
		assertThat(this.simulation.countServed(IS_BAD, 52_000)).isPositive();
	}

	// The caller lists the parts of others in all its requests.
	@ParameterizedTest
	@ValueSource(ints = { 7, 95 })
	void aCallerThatListsThePartsOfOthersHasNoneOfTheirRequestsRefused(int daemonCount) {
		start(daemonCount);
		this.simulation.setCrashes(IS_BAD);
		this.simulation.sendRequests(2, BAD_FROM_MS, LENGTH_MS, () -> {
			Set<String> traits = badTraits();
			for (int subject = 270; subject < 300; subject++) {
				traits.add("subject" + subject);
			}
			return traits;
		});
		this.simulation.play(LENGTH_MS);
		assertThatBadRequestsAreKeptFromEngines();
		assertThat(this.simulation.countRefused(IS_SOUND, 0)).isZero();
	}

	// Each request has parts that no other has.
	@Test
	void aCallerThatSendsManyPartsLeavesTheMemoryBoundedAndTheCauseKnown() {
		start(7);
		sendBadRequests(2);
		this.simulation.sendRequests(40, 0, LENGTH_MS, () -> {
			Set<String> traits = new HashSet<>(Set.of("kind0"));
			for (int index = 0; index < 30; index++) {
				this.partCount++;
				traits.add("part" + this.partCount);
			}
			return traits;
		});
		this.simulation.play(LENGTH_MS);
		assertThatBadRequestsAreKeptFromEngines();
		assertThat(this.simulation.countRefused(IS_SOUND, 0)).isZero();
		assertThat(this.simulation.mostConvictions()).isLessThanOrEqualTo(64);
	}

	@ParameterizedTest
	@CsvSource({ "7, 700", "7, 2500", "7, 6000", "95, 700", "95, 2500", "390, 2500" })
	void aRequestThatCrashedThreeEnginesReachesNoMoreEngines(int daemonCount, long intervalMs) {
		start(daemonCount);
		Set<String> repeated = Set.of("kind0", "subject1", "subject299", "model/request/bad");
		this.simulation.setCrashes((traits) -> traits.contains("model/request/bad"));
		this.simulation.repeatRequest(repeated, intervalMs, BAD_FROM_MS, LENGTH_MS);
		this.simulation.play(LENGTH_MS);
		List<Long> crashes = this.simulation.crashTimesMs();
		long boundFromMs = crashes.get(REQUEST_KNOWN_FROM_CRASHES - 1) + CrashSimulation.CONTACT_MS;
		assertThat(this.simulation.countArrivals(repeated::equals, boundFromMs)).isLessThanOrEqualTo(ALLOWED_ARRIVALS);
		assertThat(this.simulation.countRefused((traits) -> !traits.equals(repeated), 0)).isZero();
	}

	@Tag("long")
	@ParameterizedTest
	@ValueSource(ints = { 7, 95 })
	void theCauseIsFoundAndNoOtherWithFiftySeeds(int daemonCount) {
		for (this.seed = 1; this.seed <= 50; this.seed++) {
			assertThatCode(() -> requestsWithAPartThatCrashedFiveEnginesReachNoMoreEngines(daemonCount, 2))
				.as("seed %d", this.seed)
				.doesNotThrowAnyException();
			assertThatCode(() -> thePartStaysKnownWhileDaemonsAreCutOffFrozenAndRestarted(daemonCount))
				.as("seed %d, disturbed", this.seed)
				.doesNotThrowAnyException();
			assertThatCode(() -> hostsThatAreKilledWithManyRequestsConvictNone(daemonCount, daemonCount / 5))
				.as("seed %d, killed", this.seed)
				.doesNotThrowAnyException();
			assertThatCode(() -> hostsThatAreKilledOneAfterTheOtherConvictNone(daemonCount))
				.as("seed %d, killed in turn", this.seed)
				.doesNotThrowAnyException();
		}
	}

}
