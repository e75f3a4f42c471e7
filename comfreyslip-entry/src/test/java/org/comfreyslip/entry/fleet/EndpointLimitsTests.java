package org.comfreyslip.entry.fleet;

import java.util.Map;
import java.util.OptionalDouble;
import java.util.concurrent.TimeUnit;

import org.comfreyslip.entry.fleet.EndpointLimits.LimitState;
import org.comfreyslip.entry.fleet.EndpointLimits.Source;
import org.comfreyslip.entry.fleet.EndpointLimits.Statement;
import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Tests for {@link EndpointLimits}. They guard against a limit that outlives its end, or
 * ends because of an old response.
 */
class EndpointLimitsTests {

	private static final OptionalDouble NONE = OptionalDouble.empty();

	private final EndpointLimits limits = new EndpointLimits("d", "a", 0);

	private static long ms(long ms) {
		return TimeUnit.MILLISECONDS.toNanos(ms);
	}

	@Test
	void aLimitIsInForceUntilAResponseToALaterRequestStatesNone() {
		this.limits.onResponse("e", OptionalDouble.of(2.5), true, ms(0), ms(100));
		this.limits.onResponse("e", NONE, true, ms(50), ms(150));
		assertThat(this.limits.states(ms(200)))
			.containsExactly(new LimitState("e", 2.5, Source.RESPONSE, 100, 0, 0, 0));
		this.limits.onResponse("e", NONE, true, ms(150), ms(250));
		assertThat(this.limits.states(ms(300))).isEmpty();
	}

	@Test
	void aResponseThatIsNotProvenToBeTheEndpointsDoesNotEndALimit() {
		this.limits.onResponse("e", OptionalDouble.of(2.5), true, ms(0), ms(100));
		this.limits.onResponse("e", NONE, false, ms(150), ms(250));
		assertThat(this.limits.states(ms(300))).hasSize(1);
	}

	@Test
	void theNewerStatementCountsWhicheverDaemonGotIt() {
		this.limits.onPeerStatement("e", new Statement(OptionalDouble.of(4), ms(100)), ms(1_000));
		assertThat(this.limits.states(ms(1_000))).containsExactly(new LimitState("e", 4, Source.PEER, 100, 0, 0, 0));
		this.limits.onPeerStatement("e", new Statement(OptionalDouble.of(7), ms(500)), ms(1_010));
		assertThat(this.limits.states(ms(1_010))).containsExactly(new LimitState("e", 4, Source.PEER, 110, 0, 0, 0));
		this.limits.onPeerStatement("e", new Statement(NONE, ms(10)), ms(1_100));
		assertThat(this.limits.states(ms(1_100))).isEmpty();
	}

	@Test
	void onlyStatementsOfOwnResponsesArePassedOn() {
		this.limits.onPeerStatement("e1", new Statement(OptionalDouble.of(4), ms(100)), ms(1_000));
		this.limits.onResponse("e2", OptionalDouble.of(3), true, ms(900), ms(1_000));
		assertThat(this.limits.ownStatements(ms(1_200)))
			.isEqualTo(Map.of("e2", new Statement(OptionalDouble.of(3), ms(200))));
		this.limits.onPeerStatement("e2", new Statement(OptionalDouble.of(5), ms(50)), ms(1_200));
		assertThat(this.limits.ownStatements(ms(1_300))).isEmpty();
	}

	@Test
	void aLimitThatIsNotStatedAnyMoreIsForgottenAfterMinutes() {
		this.limits.onResponse("e", OptionalDouble.of(2.5), true, ms(0), ms(0));
		this.limits.removeExpired(TimeUnit.MINUTES.toNanos(9));
		assertThat(this.limits.states(TimeUnit.MINUTES.toNanos(9))).hasSize(1);
		this.limits.removeExpired(TimeUnit.MINUTES.toNanos(11));
		assertThat(this.limits.states(TimeUnit.MINUTES.toNanos(11))).isEmpty();
	}

}
