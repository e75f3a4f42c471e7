package org.comfreyslip.coordination.drain;

import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Guards against a graceful shutdown that refuses requests before the balancer has
 * noticed it or aborts open requests too early, and against one that never ends.
 */
class DrainStateTests {

	private final DrainState drain = new DrainState(5, 600);

	@Test
	void requestsAreAcceptedUntilTheBalancerHasNoticed() {
		this.drain.onShutdownSignal(0);
		assertThat(this.drain.phase().isReady()).isFalse();
		assertThat(this.drain.tryAdmitRequest()).isTrue();
		this.drain.updatePhase(5);
		assertThat(this.drain.tryAdmitRequest()).isFalse();
	}

	@Test
	void theProcessEndsWhenTheLastOpenRequestEnds() {
		this.drain.tryAdmitRequest();
		this.drain.onShutdownSignal(0);
		this.drain.updatePhase(100);
		assertThat(this.drain.phase()).isEqualTo(DrainPhase.REFUSING);
		this.drain.onRequestEnded();
		this.drain.updatePhase(101);
		assertThat(this.drain.phase()).isEqualTo(DrainPhase.ENDED);
		assertThat(this.drain.hasEndedWithOpenRequests()).isFalse();
	}

	@Test
	void aSecondSignalEndsTheProcessImmediately() {
		this.drain.tryAdmitRequest();
		this.drain.onShutdownSignal(0);
		this.drain.onShutdownSignal(1);
		assertThat(this.drain.phase()).isEqualTo(DrainPhase.ENDED);
		assertThat(this.drain.hasEndedWithOpenRequests()).isTrue();
	}

	@Test
	void theDrainLimitEndsTheProcessWithRequestsOpen() {
		this.drain.tryAdmitRequest();
		this.drain.onShutdownSignal(0);
		this.drain.updatePhase(600);
		assertThat(this.drain.hasEndedWithOpenRequests()).isTrue();
	}

}
