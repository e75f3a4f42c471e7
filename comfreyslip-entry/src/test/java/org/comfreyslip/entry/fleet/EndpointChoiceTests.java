package org.comfreyslip.entry.fleet;

import java.util.List;
import java.util.SplittableRandom;
import java.util.concurrent.TimeUnit;

import org.comfreyslip.entry.Samples;
import org.comfreyslip.entry.model.Endpoint;
import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Tests for {@link PlainSelector} and {@link EndpointFaults}. They guard against requests
 * that keep going to a slow or failing endpoint.
 */
class EndpointChoiceTests {

	private final EndpointFaults faults = new EndpointFaults();

	private final PlainSelector selector = new PlainSelector(this.faults, new SplittableRandom(7));

	private final List<Endpoint> endpoints = List.of(Samples.plain("a", 1, false), Samples.plain("b", 1, false),
			Samples.plain("c", 1, false));

	private String choose(long nowNanos, String... tried) {
		return this.selector.choose(this.endpoints, List.of(tried), "a", nowNanos).map(Endpoint::id).orElse("none");
	}

	@Test
	void openRequestsSpreadOverTheEndpoints() {
		for (int sent = 0; sent < 9; sent++) {
			this.selector.onSent(choose(0));
		}
		for (String id : List.of("a", "b", "c")) {
			for (int ended = 0; ended < 3; ended++) {
				this.selector.onEnded(id, 20);
			}
		}
		assertThat(choose(0)).isIn("a", "b", "c");
	}

	@Test
	void aSlowEndpointGetsLess() {
		for (int sample = 0; sample < 20; sample++) {
			this.selector.onSent("a");
			this.selector.onEnded("a", 200);
		}
		for (int choice = 0; choice < 20; choice++) {
			assertThat(choose(0)).isNotEqualTo("a");
		}
	}

	@Test
	void anEndpointThatHadTheRequestIsNotTakenAgain() {
		assertThat(choose(0, "a", "b")).isEqualTo("c");
		assertThat(choose(0, "a", "b", "c")).isEqualTo("none");
	}

	@Test
	void anUnreachableEndpointIsTheLastChoiceUntilItsPauseEnds() {
		this.faults.onUnreachable("a", 0);
		this.faults.onUnreachable("b", 0);
		assertThat(choose(1)).isEqualTo("c");
		assertThat(this.faults.isAvoided("a", TimeUnit.SECONDS.toNanos(1))).isFalse();
	}

	@Test
	void layersMoveOnlyAfterFailuresThatLast() {
		this.faults.onUnreachable("a", 0);
		assertThat(this.faults.isLost("a", TimeUnit.MILLISECONDS.toNanos(500))).isFalse();
		this.faults.onUnreachable("a", TimeUnit.MILLISECONDS.toNanos(700));
		assertThat(this.faults.isLost("a", TimeUnit.MILLISECONDS.toNanos(1_300))).isTrue();
		this.faults.onResponse("a", false);
		assertThat(this.faults.isLost("a", TimeUnit.MILLISECONDS.toNanos(1_300))).isFalse();
	}

	@Test
	void failuresThatOnlyOtherDaemonsSeeLastToo() {
		for (long atMs = 0; atMs <= 1_600; atMs += 200) {
			this.faults.onReported("a", TimeUnit.MILLISECONDS.toNanos(atMs));
		}
		assertThat(this.faults.isLost("a", TimeUnit.MILLISECONDS.toNanos(1_600))).isTrue();
	}

	@Test
	void aFailureLongAfterAnotherOneDoesNotCountAsOneThatLasts() {
		this.faults.onUnreachable("a", 0);
		this.faults.onUnreachable("a", TimeUnit.SECONDS.toNanos(20));
		assertThat(this.faults.isAvoided("a", TimeUnit.SECONDS.toNanos(20) + 1)).isTrue();
		assertThat(this.faults.isLost("a", TimeUnit.SECONDS.toNanos(20) + 1)).isFalse();
	}

	@Test
	void anEngineWhoseStreamsEndWellHasNoFailuresLeft() {
		this.faults.onDown("a", false, 0);
		assertThat(this.faults.hasFailed("a")).isTrue();
		this.faults.onWorking("a");
		assertThat(this.faults.hasFailed("a")).isFalse();
		assertThat(this.faults.isAvoided("a", 1)).isFalse();
	}

	// Replays the release of engines: one exits after it has left the store, and the runs
	// of its last streams count against the limit of their routes.
	@Test
	void anEndpointThatExitsAfterItLeftIsAvoidedAndHasNotFailed() {
		this.faults.onDown("a", true, 0);
		assertThat(this.faults.isAvoided("a", 1)).isTrue();
		assertThat(this.faults.hasFailed("a")).isFalse();
	}

	@Test
	void whatAnotherDaemonReportedIsNotPassedOn() {
		this.faults.onReported("a", 0);
		assertThat(this.faults.isAvoided("a", 1)).isTrue();
		assertThat(this.faults.ownUnreachable(1)).isEmpty();
		this.faults.onUnreachable("b", 0);
		assertThat(this.faults.ownUnreachable(1)).containsExactly("b");
	}

}
