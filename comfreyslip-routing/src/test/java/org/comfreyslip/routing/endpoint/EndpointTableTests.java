package org.comfreyslip.routing.endpoint;

import java.util.List;
import java.util.Optional;
import java.util.Random;
import java.util.Set;

import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Guards against calls to excluded endpoints, non-idempotent calls as probes, call counts
 * that are lost in a configuration change, and policies that do not select as documented.
 */
class EndpointTableTests {

	private static final long SECOND = 1_000_000_000;

	private final Random random = new Random(5);

	private final EndpointTable table = new EndpointTable();

	@Test
	void outstandingCallsSurviveAConfigurationChange() {
		this.table.setEndpoints("s", List.of("a", "b"), 0);
		this.table.startCallTo("a", 0);
		this.table.setEndpoints("s", List.of("a", "c"), 0);
		assertThat(this.table.find("a").orElseThrow().load().outstanding()).isEqualTo(1);
		assertThat(this.table.find("b")).isEmpty();
	}

	@Test
	void anEndpointThatMovesToAnotherGroupIsNotStartedThroughTheOldOne() {
		this.table.setEndpoints("s", List.of("a"), 0);
		this.table.setEndpoints("t", List.of("a"), 0);
		this.table.setEndpoints("s", List.of(), 0);
		assertThat(this.table.find("a").orElseThrow().group()).isEqualTo("t");
		assertThat(start(Set.of(), true)).isEmpty();
	}

	@Test
	void aCallThatMustNotBeRepeatedIsNeverAProbe() {
		this.table.setEndpoints("s", List.of("a"), 0);
		EndpointCall call = this.table.startCallTo("a", 0).orElseThrow();
		this.table.recordFailure(call, EndpointFailure.REFUSED, -5 * SECOND, this.random);
		assertThat(start(Set.of(), false)).isEmpty();
		assertThat(start(Set.of(), true))
			.hasValueSatisfying((started) -> assertThat(started.grant()).isEqualTo(EndpointGrant.PROBE));
	}

	@Test
	void anExcludedEndpointIsNotSelected() {
		this.table.setEndpoints("s", List.of("a", "b"), 0);
		for (int i = 0; i < 20; i++) {
			assertThat(start(Set.of("a"), true).orElseThrow().entry().name()).isEqualTo("b");
		}
	}

	@Test
	void anOldReportLosesInfluenceAndOwnCallsAreNotCountedTwice() {
		EndpointLoad load = new EndpointLoad();
		load.onCallStarted();
		load.onLoadReport(8, 0);
		load.onCallStarted();
		assertThat(load.estimateQueue(0, SECOND, 1)).isEqualTo(9);
		assertThat(load.estimateQueue(2 * SECOND, SECOND, 1)).isEqualTo(5.5);
		assertThat(load.estimateQueue(100 * SECOND, SECOND, 1)).isBetween(2.0, 2.001);
		load.onLoadReport(50, -1);
		assertThat(load.estimateQueue(0, SECOND, 1)).isEqualTo(9);
	}

	@Test
	void aReportOlderThanShortCallsIsNotTrustedAndOtherDaemonsAreAssumedToBeAlike() {
		EndpointLoad load = new EndpointLoad();
		load.onLoadReport(40, 0);
		load.onCallStarted();
		assertThat(load.estimateQueue(SECOND, SECOND / 50, 4)).isBetween(4.0, 4.01);
		assertThat(load.estimateQueue(SECOND, SECOND / 50, 400)).isBetween(8.0, 8.01);
	}

	@Test
	void weightedPrefersFastEndpointsAndLeastOutstandingTheIdleOne() {
		EndpointCandidate slow = new EndpointCandidate("slow", 0, 0, 9_000, 1);
		EndpointCandidate fast = new EndpointCandidate("fast", 2, 2, 1_000, 1);
		int toFast = 0;
		for (int i = 0; i < 1_000; i++) {
			toFast += EndpointPolicy.WEIGHTED.select(List.of(slow, fast), i, this.random).equals(fast) ? 1 : 0;
			assertThat(EndpointPolicy.LEAST_OUTSTANDING.select(List.of(slow, fast), i, this.random)).isEqualTo(slow);
		}
		assertThat(toFast).isGreaterThan(950);
	}

	@Test
	void roundRobinTakesTurnsAndTwoChoicesTakesTheShorterQueue() {
		EndpointCandidate a = new EndpointCandidate("a", 0, 5, 1, 1);
		EndpointCandidate b = new EndpointCandidate("b", 0, 1, 1, 1);
		assertThat(EndpointPolicy.ROUND_ROBIN.select(List.of(a, b), 4, this.random)).isEqualTo(a);
		assertThat(EndpointPolicy.ROUND_ROBIN.select(List.of(a, b), 5, this.random)).isEqualTo(b);
		for (int i = 0; i < 100; i++) {
			assertThat(EndpointPolicy.TWO_CHOICES.select(List.of(a, b), i, this.random)).isEqualTo(b);
		}
	}

	private Optional<EndpointCall> start(Set<String> excluded, boolean mayProbe) {
		return this.table.startCall("s", EndpointPolicy.RANDOM, excluded, mayProbe, 0, this.random);
	}

}
