package org.comfreyslip.entry.config;

import java.util.concurrent.TimeUnit;

import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Tests for {@link ElapsedClock}. They guard against revoked keys that stay accepted
 * because the age of the configuration is measured too small after a suspension of the
 * host or a change of the time of day.
 */
class ElapsedClockTests {

	private long steadyMs = 5_000;

	private long wallMs = 1_700_000_000_000L;

	private final ElapsedClock clock = new ElapsedClock(() -> TimeUnit.MILLISECONDS.toNanos(this.steadyMs),
			() -> this.wallMs);

	private long elapsedMs() {
		return TimeUnit.NANOSECONDS.toMillis(this.clock.nanos());
	}

	private void advanceMs(long steady, long wall) {
		this.steadyMs += steady;
		this.wallMs += wall;
	}

	@Test
	void theTimeOfASuspensionIsCounted() {
		advanceMs(100, 100);
		assertThat(elapsedMs()).isEqualTo(100);
		advanceMs(0, 6_000);
		assertThat(elapsedMs()).isEqualTo(6_100);
		advanceMs(50, 50);
		assertThat(elapsedMs()).isEqualTo(6_150);
	}

	@Test
	void settingTheTimeOfDayBackDoesNotShortenTheElapsedTime() {
		advanceMs(400, -2_000);
		assertThat(elapsedMs()).isEqualTo(400);
		advanceMs(400, 400);
		assertThat(elapsedMs()).isEqualTo(800);
	}

	@Test
	void aSuspensionAfterTheTimeOfDayWasSetBackIsCounted() {
		advanceMs(400, -2_000);
		assertThat(elapsedMs()).isEqualTo(400);
		advanceMs(0, 3_000);
		assertThat(elapsedMs()).isEqualTo(3_400);
	}

	@Test
	void theElapsedTimeNeverRunsBackOrSlowerThanTheSteadyClock() {
		long last = 0;
		long steady = 0;
		for (int step = 0; step < 1_000; step++) {
			long wall = ((step * 7919L) % 5 == 0) ? (step * 104_729L) % 3_000 - 1_500 : 10;
			advanceMs(10, wall);
			steady += 10;
			long now = elapsedMs();
			assertThat(now).isGreaterThanOrEqualTo(last + 10).isGreaterThanOrEqualTo(steady);
			last = now;
		}
	}

}
