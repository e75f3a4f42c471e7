package org.comfreyslip.entry.fleet;

import java.util.concurrent.TimeUnit;
import java.util.random.RandomGenerator;

/**
 * Times after which refused callers may retry. Callers get successive times at the rate
 * at which places come free, so that they do not return together.
 */
final class ReturnSchedule {

	/** Longest time after which a caller is told to retry, in ns. */
	private static final long MAX_RETURN_NANOS = TimeUnit.SECONDS.toNanos(5);

	/** Steady time in ns for which a caller was last told to return. */
	private long lastReturnNanos;

	/**
	 * Creates a schedule without callers.
	 * @param nowNanos the current steady time in ns
	 */
	ReturnSchedule(long nowNanos) {
		this.lastReturnNanos = nowNanos;
	}

	/**
	 * Returns after what time the next caller may retry.
	 * @param placesPerSecond rate at which places for this daemon's callers come free;
	 * above 0
	 * @param random source of the times of callers whose place would come free too late
	 * @param nowNanos the current steady time in ns
	 * @return the time in ms, at most 5,000
	 */
	long retryAfterMs(double placesPerSecond, RandomGenerator random, long nowNanos) {
		long from = (this.lastReturnNanos - nowNanos > 0) ? this.lastReturnNanos : nowNanos;
		long next = from + (long) (TimeUnit.SECONDS.toNanos(1) / placesPerSecond);
		if (next - nowNanos > MAX_RETURN_NANOS) {
			return TimeUnit.NANOSECONDS.toMillis((long) (MAX_RETURN_NANOS * (1 + random.nextDouble()) / 2));
		}
		this.lastReturnNanos = next;
		return TimeUnit.NANOSECONDS.toMillis(next - nowNanos);
	}

}
