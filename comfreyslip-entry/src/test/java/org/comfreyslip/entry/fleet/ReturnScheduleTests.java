package org.comfreyslip.entry.fleet;

import java.util.SplittableRandom;
import java.util.concurrent.TimeUnit;

import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Tests for {@link ReturnSchedule}. They guard against refused callers that return
 * together.
 */
class ReturnScheduleTests {

	private final ReturnSchedule returns = new ReturnSchedule(0);

	private final SplittableRandom random = new SplittableRandom(1);

	@Test
	void callersReturnAtTheRateAtWhichPlacesComeFree() {
		assertThat(this.returns.retryAfterMs(2, this.random, 0)).isEqualTo(500);
		assertThat(this.returns.retryAfterMs(2, this.random, 0)).isEqualTo(1_000);
		assertThat(this.returns.retryAfterMs(2, this.random, TimeUnit.SECONDS.toNanos(10))).isEqualTo(500);
	}

	@Test
	void callersWhosePlaceComesFreeLateReturnAtDifferentTimes() {
		long first = this.returns.retryAfterMs(0.01, this.random, 0);
		long second = this.returns.retryAfterMs(0.01, this.random, 0);
		assertThat(first).isBetween(2_500L, 5_000L).isNotEqualTo(second);
		assertThat(second).isBetween(2_500L, 5_000L);
	}

}
