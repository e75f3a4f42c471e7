package org.comfreyslip.routing.endpoint;

import java.util.ArrayList;
import java.util.List;
import java.util.Random;

import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.Size;
import org.comfreyslip.coordination.CodedException;
import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatExceptionOfType;

/**
 * Guards against calls to endpoints that failed or are leaving, and against several
 * simultaneous probes of a recovering endpoint.
 */
class EndpointHealthTests {

	private static final long SECOND = 1_000_000_000;

	private final Random random = new Random(7);

	private final EndpointHealth health = new EndpointHealth(0);

	@Test
	void aRefusedConnectionEjectsAtOnceAndASingleErrorDoesNot() {
		this.health.onCallFailed(this.health.startCall(0), EndpointFailure.ERROR, 0, this.random);
		assertThat(this.health.state(0)).isEqualTo(EndpointState.HEALTHY);
		this.health.onCallFailed(this.health.startCall(0), EndpointFailure.REFUSED, 0, this.random);
		assertThat(this.health.state(0)).isEqualTo(EndpointState.EJECTED);
		assertThat(this.health.startCall(0)).isEqualTo(EndpointGrant.REFUSED);
	}

	@Test
	void eachFailedProbeDoublesTheBackoffUpToTheMaximum() {
		long now = 0;
		this.health.onCallFailed(this.health.startCall(now), EndpointFailure.REFUSED, now, this.random);
		for (int i = 0; i < 10; i++) {
			long backoff = this.health.ejectedUntilNanos() - now;
			double expected = Math.min(60, Math.pow(2, i)) * SECOND;
			assertThat((double) backoff).isBetween(expected * 0.75, expected * 1.25);
			now = this.health.ejectedUntilNanos();
			this.health.onCallFailed(this.health.startCall(now), EndpointFailure.ERROR, now, this.random);
		}
	}

	@Test
	void aLateSuccessFromBeforeTheEjectionDoesNotEndIt() {
		EndpointGrant early = this.health.startCall(0);
		this.health.onCallFailed(this.health.startCall(0), EndpointFailure.REFUSED, 0, this.random);
		this.health.onCallSucceeded(early, 1, 1);
		assertThat(this.health.state(1)).isEqualTo(EndpointState.EJECTED);
	}

	@Test
	void aRecoveredEndpointStartsSlowly() {
		this.health.onCallFailed(this.health.startCall(0), EndpointFailure.REFUSED, 0, this.random);
		long now = 100 * SECOND;
		this.health.onCallSucceeded(this.health.startCall(now), now, 1);
		assertThat(this.health.slowStartWeight(now)).isEqualTo(EndpointHealth.INITIAL_WEIGHT);
		assertThat(this.health.slowStartWeight(now + 15 * SECOND)).isEqualTo(0.5);
		assertThat(this.health.slowStartWeight(now + 60 * SECOND)).isEqualTo(1);
	}

	@Test
	void anAbandonedProbeDoesNotBlockTheRecovery() {
		this.health.onCallFailed(this.health.startCall(0), EndpointFailure.REFUSED, 0, this.random);
		this.health.onCallAbandoned(this.health.startCall(2 * SECOND));
		assertThat(this.health.startCall(2 * SECOND)).isEqualTo(EndpointGrant.PROBE);
	}

	@Test
	void aLeavingEndpointGetsNoWorkAlthoughALaggingHostListStillShowsItAsLive() {
		this.health.onReportedLeaving(SECOND);
		assertThat(this.health.startCall(SECOND)).isEqualTo(EndpointGrant.REFUSED);
		this.health.onReportedLive(4 * SECOND);
		assertThat(this.health.startCall(4 * SECOND)).isEqualTo(EndpointGrant.REFUSED);
		this.health.onReportedLive(61 * SECOND);
		assertThat(this.health.startCall(61 * SECOND)).isEqualTo(EndpointGrant.NORMAL);
	}

	@Test
	void theEndOfAProbeCannotBeRecordedTwice() {
		assertThatExceptionOfType(CodedException.class)
			.isThrownBy(() -> this.health.onCallAbandoned(EndpointGrant.PROBE));
	}

	@Test
	void theTimeoutFollowsMeasuredTimesWithinItsBounds() {
		EndpointTiming timing = new EndpointTiming();
		assertThat(timing.timeoutNanos(1)).isEqualTo(EndpointTiming.MAX_TIMEOUT_NANOS);
		for (int i = 0; i < 200; i++) {
			timing.addMeasurement(SECOND);
		}
		assertThat(timing.timeoutNanos(1)).isBetween(SECOND, SECOND + SECOND / 10);
		assertThat(timing.timeoutNanos(4)).isBetween(4 * SECOND, 5 * SECOND);
		timing.addMeasurement(3 * SECOND);
		assertThat(timing.timeoutNanos(1)).isGreaterThan(2 * SECOND);
	}

	@Property(tries = 500, seed = "11")
	void atMostOneProbeIsOpenInAnyOrderOfEvents(@ForAll @Size(max = 200) List<Byte> events) {
		EndpointHealth endpoint = new EndpointHealth(0);
		Random jitter = new Random(3);
		List<EndpointGrant> open = new ArrayList<>();
		long now = 0;
		for (byte event : events) {
			now += SECOND / 2;
			switch (Math.floorMod(event, 6)) {
				case 0, 1, 2 -> {
					EndpointGrant grant = endpoint.startCall(now);
					if (grant != EndpointGrant.REFUSED) {
						open.add(grant);
					}
				}
				case 3 -> {
					if (!open.isEmpty()) {
						endpoint.onCallSucceeded(open.remove(0), now, 1);
					}
				}
				case 4 -> {
					if (!open.isEmpty()) {
						endpoint.onCallFailed(open.remove(open.size() - 1), EndpointFailure.REFUSED, now, jitter);
					}
				}
				default -> endpoint.onEjectedByPeer(now, jitter);
			}
			assertThat(open.stream().filter((grant) -> grant == EndpointGrant.PROBE).count()).isLessThanOrEqualTo(1);
		}
	}

}
