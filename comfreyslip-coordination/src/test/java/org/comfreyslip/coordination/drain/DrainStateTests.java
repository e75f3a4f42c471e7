package org.comfreyslip.coordination.drain;

import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Guards against requests that a graceful shutdown cuts off.
 */
class DrainStateTests {

	private final DrainState drain = new DrainState(5, 600);

	@Test
	void requestsAreAcceptedUntilTheBalancerHasNoticed() {
		this.drain.onSignal(0);
		assertThat(this.drain.phase().isReady()).isFalse();
		assertThat(this.drain.tryBegin()).isTrue();
		this.drain.onTime(5);
		assertThat(this.drain.tryBegin()).isFalse();
	}

	@Test
	void theProcessEndsWhenTheLastOpenRequestEnds() {
		this.drain.tryBegin();
		this.drain.onSignal(0);
		this.drain.onTime(100);
		assertThat(this.drain.phase()).isEqualTo(DrainPhase.REFUSING);
		this.drain.onRequestEnd();
		this.drain.onTime(101);
		assertThat(this.drain.phase()).isEqualTo(DrainPhase.ENDED);
		assertThat(this.drain.isCutOff()).isFalse();
	}

	@Test
	void aSecondSignalEndsTheProcessAtOnce() {
		this.drain.tryBegin();
		this.drain.onSignal(0);
		this.drain.onSignal(1);
		assertThat(this.drain.phase()).isEqualTo(DrainPhase.ENDED);
		assertThat(this.drain.isCutOff()).isTrue();
	}

	@Test
	void theDeadlineEndsTheProcessWithRequestsOpen() {
		this.drain.tryBegin();
		this.drain.onSignal(0);
		this.drain.onTime(600);
		assertThat(this.drain.isCutOff()).isTrue();
	}

}
