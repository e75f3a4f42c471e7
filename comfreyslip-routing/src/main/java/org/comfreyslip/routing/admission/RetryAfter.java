package org.comfreyslip.routing.admission;

import java.util.concurrent.TimeUnit;
import java.util.random.RandomGenerator;

/**
 * Calculates the time after which a refused caller may retry. It is at least the expected
 * time until capacity is free, plus a random part of up to the same length, so that
 * refused callers do not all retry at once.
 */
public final class RetryAfter {

	/** Shortest time, in ms; the HTTP header has a resolution of one second. */
	public static final long MIN_MILLIS = 1_000;

	/** Longest time before jitter, in ms. */
	public static final long MAX_MILLIS = 60_000;

	private RetryAfter() {
	}

	/**
	 * Returns the time after which to retry.
	 * @param drainNanos the expected time until capacity is free, in ns
	 * @param random the source of the jitter
	 * @return the time in ms, at most twice {@link #MAX_MILLIS}
	 */
	public static long millis(long drainNanos, RandomGenerator random) {
		long drain = TimeUnit.NANOSECONDS.toMillis(drainNanos);
		long base = Math.max(MIN_MILLIS, Math.min(MAX_MILLIS, drain));
		return base + random.nextLong(base + 1);
	}

}
