package org.comfreyslip.entry;

import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Tests for {@link ShutdownPhase}. They guard against long requests that are accepted so
 * late that the process ends before their response.
 */
class ShutdownPhaseTests {

	private static final long GRACE_MS = 8_000;

	/** Interval at which the daemon checks the phase, in ms. */
	private static final long PERIOD_MS = 200;

	@Test
	void connectionsAreAcceptedUntilTheBalancerHasProbedTwice() {
		assertThat(ShutdownPhase.at(0, GRACE_MS)).isEqualTo(ShutdownPhase.ACCEPTING);
		assertThat(ShutdownPhase.at(2_100, GRACE_MS)).isEqualTo(ShutdownPhase.ACCEPTING);
	}

	@Test
	void noRequestIsAcceptedThreeSecondsAfterTheSignalEvenBetweenTwoChecks() {
		assertThat(ShutdownPhase.at(3_000 - PERIOD_MS, GRACE_MS)).isEqualTo(ShutdownPhase.FINISHING);
	}

	@Test
	void theProcessExitsBeforeItIsKilled() {
		assertThat(ShutdownPhase.at(GRACE_MS - 500, GRACE_MS)).isEqualTo(ShutdownPhase.FINISHING);
		assertThat(ShutdownPhase.at(GRACE_MS - 300, GRACE_MS)).isEqualTo(ShutdownPhase.OVER);
		assertThat(ShutdownPhase.at(500, 300)).isEqualTo(ShutdownPhase.OVER);
	}

	@Test
	void aFirstSendIsAllowedWhileItsResponseIsDueBeforeTheExit() {
		assertThat(ShutdownPhase.allowsFirstSend(2_000, 20_000, 8_000)).isTrue();
		assertThat(ShutdownPhase.allowsFirstSend(5_000, 20_000, 8_000)).isFalse();
		assertThat(ShutdownPhase.allowsFirstSend(5_000, 2_600, 8_000)).isTrue();
		assertThat(ShutdownPhase.allowsFirstSend(5_000, 2_601, 8_000)).isFalse();
	}

}
