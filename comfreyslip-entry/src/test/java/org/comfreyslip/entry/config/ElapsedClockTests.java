package org.comfreyslip.entry.config;

import java.util.concurrent.TimeUnit;

import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Tests for {@link ElapsedClock}. They guard against revoked keys that stay accepted
 * because an age was measured too small.
 */
class ElapsedClockTests {

	private long steadyMs = 5_000;

	private long wallMs = 1_700_000_000_000L;

	private final ElapsedClock clock = new ElapsedClock(() -> TimeUnit.MILLISECONDS.toNanos(this.steadyMs),
			() -> this.wallMs);

	private long elapsedMs() {
		return TimeUnit.NANOSECONDS.toMillis(this.clock.nanos());
	}

	private void pass(long steady, long wall) {
		this.steadyMs += steady;
		this.wallMs += wall;
	}

	@Test
	void aSuspensionCounts() {
		pass(100, 100);
		assertThat(elapsedMs()).isEqualTo(100);
		pass(0, 6_000);
		assertThat(elapsedMs()).isEqualTo(6_100);
		pass(50, 50);
		assertThat(elapsedMs()).isEqualTo(6_150);
	}

	@Test
	void aStepBackOfTheTimeOfDayDoesNotShortenTheTime() {
		pass(400, -2_000);
		assertThat(elapsedMs()).isEqualTo(400);
		pass(400, 400);
		assertThat(elapsedMs()).isEqualTo(800);
	}

	@Test
	void aSuspensionAfterAStepBackCounts() {
		pass(400, -2_000);
		assertThat(elapsedMs()).isEqualTo(400);
		pass(0, 3_000);
		assertThat(elapsedMs()).isEqualTo(3_400);
	}

	@Test
	void theTimeNeverRunsBackAndNeverSlowerThanTheSteadyClock() {
		long last = 0;
		long steady = 0;
		for (int step = 0; step < 1_000; step++) {
			long wall = ((step * 7919L) % 5 == 0) ? (step * 104_729L) % 3_000 - 1_500 : 10;
			pass(10, wall);
			steady += 10;
			long now = elapsedMs();
			assertThat(now).isGreaterThanOrEqualTo(last + 10).isGreaterThanOrEqualTo(steady);
			last = now;
		}
	}

}
