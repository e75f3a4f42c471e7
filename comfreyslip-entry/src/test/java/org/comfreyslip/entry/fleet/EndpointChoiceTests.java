package org.comfreyslip.entry.fleet;

import java.util.List;
import java.util.SplittableRandom;
import java.util.concurrent.TimeUnit;

import org.comfreyslip.entry.Samples;
import org.comfreyslip.entry.model.Endpoint;
import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Tests for {@link LeastWaitSelector} and {@link EndpointFaults}. They guard against
 * requests that keep being sent to a slow or faulty endpoint.
 */
class EndpointChoiceTests {

	private final EndpointFaults faults = new EndpointFaults();

	private final LeastWaitSelector selector = new LeastWaitSelector(this.faults, new PlainLoads(0),
			new SplittableRandom(7));

	private final List<Endpoint> endpoints = List.of(Samples.plain("a", 1, false), Samples.plain("b", 1, false),
			Samples.plain("c", 1, false));

	private String choose(long nowNanos, String... tried) {
		return this.selector.choose(this.endpoints, List.of(tried), "a", nowNanos).map(Endpoint::id).orElse("none");
	}

	@Test
	void openRequestsAreSpreadOverTheEndpoints() {
		for (int sent = 0; sent < 9; sent++) {
			this.selector.recordDispatch(choose(0), 0);
		}
		for (String id : List.of("a", "b", "c")) {
			for (int ended = 0; ended < 3; ended++) {
				this.selector.recordCompletion(id, 0, 20, 0);
			}
		}
		assertThat(choose(0)).isIn("a", "b", "c");
	}

	@Test
	void aSlowEndpointIsNotChosenWhileOthersAreFaster() {
		for (int sample = 0; sample < 20; sample++) {
			this.selector.recordDispatch("a", 0);
			this.selector.recordCompletion("a", 0, 200, 0);
		}
		for (int choice = 0; choice < 20; choice++) {
			assertThat(choose(0)).isNotEqualTo("a");
		}
	}

	@Test
	void anEndpointThatWasTriedIsNotChosenAgain() {
		assertThat(choose(0, "a", "b")).isEqualTo("c");
		assertThat(choose(0, "a", "b", "c")).isEqualTo("none");
	}

	@Test
	void aFaultyEndpointIsTheLastChoiceUntilItsBackoffEnds() {
		this.faults.recordFault(FaultKind.UNREACHABLE, "a", 0);
		this.faults.recordFault(FaultKind.UNREACHABLE, "b", 0);
		assertThat(choose(1)).isEqualTo("c");
		assertThat(this.faults.isAvoided("a", TimeUnit.SECONDS.toNanos(1))).isFalse();
	}

	@Test
	void aFaultIsPersistentOnlyAfterSomeTimeWithoutSuccess() {
		this.faults.recordFault(FaultKind.UNREACHABLE, "a", 0);
		assertThat(this.faults.isPersistentlyFaulty("a", TimeUnit.MILLISECONDS.toNanos(500))).isFalse();
		this.faults.recordFault(FaultKind.UNREACHABLE, "a", TimeUnit.MILLISECONDS.toNanos(700));
		assertThat(this.faults.isPersistentlyFaulty("a", TimeUnit.MILLISECONDS.toNanos(1_300))).isTrue();
		this.faults.recordResponse("a", false, TimeUnit.MILLISECONDS.toNanos(1_300));
		assertThat(this.faults.isPersistentlyFaulty("a", TimeUnit.MILLISECONDS.toNanos(1_300))).isFalse();
	}

	@Test
	void aFaultThatOnlyOtherDaemonsReportBecomesPersistentToo() {
		for (long atMs = 0; atMs <= 1_600; atMs += 200) {
			this.faults.recordPeerReport("a", TimeUnit.MILLISECONDS.toNanos(300), TimeUnit.MILLISECONDS.toNanos(atMs));
		}
		assertThat(this.faults.isPersistentlyFaulty("a", TimeUnit.MILLISECONDS.toNanos(1_600))).isTrue();
	}

	// Guards against layers that are planned elsewhere because their engine is full.
	@Test
	void anEndpointThatOnlyDeclinesRequestsIsNotTakenForLost() {
		for (long atMs = 0; atMs <= 3_000; atMs += 100) {
			this.faults.recordFault(FaultKind.DECLINED, "a", TimeUnit.MILLISECONDS.toNanos(atMs));
		}
		assertThat(this.faults.isAvoided("a", TimeUnit.MILLISECONDS.toNanos(3_000))).isTrue();
		assertThat(this.faults.isPersistentlyFaulty("a", TimeUnit.MILLISECONDS.toNanos(3_000))).isFalse();
		assertThat(this.faults.locallyObservedFaults(TimeUnit.MILLISECONDS.toNanos(3_000))).isEmpty();
	}

	// Guards against a lost engine that counts as sound again between two backoffs.
	@Test
	void anEndpointThatKeepsRefusingConnectionsStaysAvoidedAndLost() {
		for (long atMs = 0; atMs <= 8_000; atMs += 100) {
			if (atMs % 1_200 == 0) {
				this.faults.recordConnectionRefused("a", false, TimeUnit.MILLISECONDS.toNanos(atMs));
			}
			assertThat(this.faults.isAvoided("a", TimeUnit.MILLISECONDS.toNanos(atMs))).isTrue();
			assertThat(this.faults.isPersistentlyFaulty("a", TimeUnit.MILLISECONDS.toNanos(atMs)))
				.isEqualTo(atMs >= 1_200);
		}
		assertThat(this.faults.isAvoided("a", TimeUnit.MILLISECONDS.toNanos(10_000))).isFalse();
	}

	@Test
	void aLostEndpointThatIsTriedAgainStaysLostUntilTheTrialFails() {
		for (long atMs : List.of(0, 900, 2_500)) {
			this.faults.recordFault(FaultKind.UNREACHABLE, "a", TimeUnit.MILLISECONDS.toNanos(atMs));
		}
		assertThat(this.faults.isPersistentlyFaulty("a", TimeUnit.MILLISECONDS.toNanos(5_200))).isTrue();
		assertThat(this.faults.isPersistentlyFaulty("a", TimeUnit.MILLISECONDS.toNanos(6_500))).isFalse();
	}

	@Test
	void anEndpointThatADistantDaemonReportsIsAvoidedUntilItsNextMessage() {
		long intervalMs = 2_500;
		for (long atMs = 0; atMs <= 7_500; atMs += 100) {
			long nowNanos = TimeUnit.MILLISECONDS.toNanos(atMs);
			if (atMs % intervalMs == 0) {
				this.faults.recordPeerReport("a", TimeUnit.MILLISECONDS.toNanos(intervalMs) + 1, nowNanos);
			}
			assertThat(this.faults.isAvoided("a", nowNanos)).isTrue();
		}
	}

	// Guards against a daemon that lost its own network and makes all others avoid sound
	// endpoints.
	@Test
	void aRecentSuccessOutweighsTheReportOfAnotherDaemon() {
		this.faults.recordSuccess("a", TimeUnit.MILLISECONDS.toNanos(1_000));
		this.faults.recordPeerReport("a", TimeUnit.SECONDS.toNanos(2), TimeUnit.MILLISECONDS.toNanos(1_500));
		assertThat(this.faults.isAvoided("a", TimeUnit.MILLISECONDS.toNanos(1_600))).isFalse();
		this.faults.recordPeerReport("a", TimeUnit.SECONDS.toNanos(2), TimeUnit.MILLISECONDS.toNanos(2_500));
		assertThat(this.faults.isAvoided("a", TimeUnit.MILLISECONDS.toNanos(2_600))).isTrue();
	}

	@Test
	void aFailureLongAfterAnotherStartsANewFault() {
		this.faults.recordFault(FaultKind.UNREACHABLE, "a", 0);
		this.faults.recordFault(FaultKind.UNREACHABLE, "a", TimeUnit.SECONDS.toNanos(20));
		assertThat(this.faults.isAvoided("a", TimeUnit.SECONDS.toNanos(20) + 1)).isTrue();
		assertThat(this.faults.isPersistentlyFaulty("a", TimeUnit.SECONDS.toNanos(20) + 1)).isFalse();
	}

	@Test
	void aCompletedStreamClearsTheFaultOfItsEngine() {
		this.faults.recordConnectionRefused("a", false, 0);
		assertThat(this.faults.hasExitedUnexpectedly("a")).isTrue();
		this.faults.recordSuccess("a", 0);
		assertThat(this.faults.hasExitedUnexpectedly("a")).isFalse();
		assertThat(this.faults.isAvoided("a", 1)).isFalse();
	}

	// Guards against a planned exit that is taken for a failure: during a rollout an
	// engine exits after it has removed its registration, and the runs of its last
	// streams
	// count against the attempt limit of their routes.
	@Test
	void aPlannedExitIsAvoidedButIsNotUnexpected() {
		this.faults.recordConnectionRefused("a", true, 0);
		assertThat(this.faults.isAvoided("a", 1)).isTrue();
		assertThat(this.faults.hasExitedUnexpectedly("a")).isFalse();
	}

	@Test
	void faultsReportedByOtherDaemonsAreNotForwarded() {
		this.faults.recordPeerReport("a", TimeUnit.MILLISECONDS.toNanos(300), 0);
		assertThat(this.faults.isAvoided("a", 1)).isTrue();
		assertThat(this.faults.locallyObservedFaults(1)).isEmpty();
		this.faults.recordFault(FaultKind.UNREACHABLE, "b", 0);
		assertThat(this.faults.locallyObservedFaults(1)).containsExactly("b");
	}

}
