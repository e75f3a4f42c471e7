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
 * Guards against work sent to endpoints that failed or are leaving, and against several
 * probes that hit a recovering endpoint at once.
 */
class EndpointHealthTests {

	private static final long SECOND = 1_000_000_000;

	private final Random random = new Random(7);

	private final EndpointHealth health = new EndpointHealth(0);

	@Test
	void aRefusedConnectionEjectsAtOnceAndASingleErrorDoesNot() {
		this.health.onFailure(this.health.start(0), EndpointFailure.ERROR, 0, this.random);
		assertThat(this.health.state(0)).isEqualTo(EndpointState.HEALTHY);
		this.health.onFailure(this.health.start(0), EndpointFailure.REFUSED, 0, this.random);
		assertThat(this.health.state(0)).isEqualTo(EndpointState.EJECTED);
		assertThat(this.health.start(0)).isEqualTo(EndpointGrant.REFUSED);
	}

	@Test
	void eachFailedProbeDoublesTheBackoffUpToTheMaximum() {
		long now = 0;
		this.health.onFailure(this.health.start(now), EndpointFailure.REFUSED, now, this.random);
		for (int i = 0; i < 10; i++) {
			long backoff = this.health.ejectedUntilNanos() - now;
			double expected = Math.min(60, Math.pow(2, i)) * SECOND;
			assertThat((double) backoff).isBetween(expected * 0.75, expected * 1.25);
			now = this.health.ejectedUntilNanos();
			this.health.onFailure(this.health.start(now), EndpointFailure.ERROR, now, this.random);
		}
	}

	@Test
	void aLateSuccessFromBeforeTheEjectionDoesNotEndIt() {
		EndpointGrant early = this.health.start(0);
		this.health.onFailure(this.health.start(0), EndpointFailure.REFUSED, 0, this.random);
		this.health.onSuccess(early, 1, 1);
		assertThat(this.health.state(1)).isEqualTo(EndpointState.EJECTED);
	}

	@Test
	void aRecoveredEndpointStartsSlowly() {
		this.health.onFailure(this.health.start(0), EndpointFailure.REFUSED, 0, this.random);
		long now = 100 * SECOND;
		this.health.onSuccess(this.health.start(now), now, 1);
		assertThat(this.health.weight(now)).isEqualTo(EndpointHealth.FIRST_WEIGHT);
		assertThat(this.health.weight(now + 15 * SECOND)).isEqualTo(0.5);
		assertThat(this.health.weight(now + 60 * SECOND)).isEqualTo(1);
	}

	@Test
	void anAbandonedProbeDoesNotBlockTheRecovery() {
		this.health.onFailure(this.health.start(0), EndpointFailure.REFUSED, 0, this.random);
		this.health.onAbandoned(this.health.start(2 * SECOND));
		assertThat(this.health.start(2 * SECOND)).isEqualTo(EndpointGrant.PROBE);
	}

	@Test
	void aLeavingEndpointGetsNoWorkAlthoughALaggingHostListStillShowsItAsLive() {
		this.health.onLeaving(SECOND);
		assertThat(this.health.start(SECOND)).isEqualTo(EndpointGrant.REFUSED);
		this.health.onLive(4 * SECOND);
		assertThat(this.health.start(4 * SECOND)).isEqualTo(EndpointGrant.REFUSED);
		this.health.onLive(61 * SECOND);
		assertThat(this.health.start(61 * SECOND)).isEqualTo(EndpointGrant.NORMAL);
	}

	@Test
	void aSettledProbeCannotBeSettledAgain() {
		assertThatExceptionOfType(CodedException.class).isThrownBy(() -> this.health.onAbandoned(EndpointGrant.PROBE));
	}

	@Test
	void theTimeLimitFollowsMeasuredTimesWithinItsBounds() {
		EndpointTiming timing = new EndpointTiming();
		assertThat(timing.timeoutNanos(1)).isEqualTo(EndpointTiming.MAX_TIMEOUT_NANOS);
		for (int i = 0; i < 200; i++) {
			timing.add(SECOND);
		}
		assertThat(timing.timeoutNanos(1)).isBetween(SECOND, SECOND + SECOND / 10);
		assertThat(timing.timeoutNanos(4)).isBetween(4 * SECOND, 5 * SECOND);
		timing.add(3 * SECOND);
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
					EndpointGrant grant = endpoint.start(now);
					if (grant != EndpointGrant.REFUSED) {
						open.add(grant);
					}
				}
				case 3 -> {
					if (!open.isEmpty()) {
						endpoint.onSuccess(open.remove(0), now, 1);
					}
				}
				case 4 -> {
					if (!open.isEmpty()) {
						endpoint.onFailure(open.remove(open.size() - 1), EndpointFailure.REFUSED, now, jitter);
					}
				}
				default -> endpoint.onPeerEjection(now, jitter);
			}
			assertThat(open.stream().filter((grant) -> grant == EndpointGrant.PROBE).count()).isLessThanOrEqualTo(1);
		}
	}

}
