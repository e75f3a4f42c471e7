package org.comfreyslip.entry.admission;

import java.util.concurrent.TimeUnit;

/** Rate of work over the last seconds; older work counts exponentially less. */
final class DecayingRate {

	private final double averagingNanos;

	private double sum;

	private long updatedAtNanos;

	/**
	 * Creates a rate of 0.
	 * @param averagingNanos time after which work counts by 1/e, in ns
	 * @param nowNanos the current elapsed time in ns
	 */
	DecayingRate(long averagingNanos, long nowNanos) {
		this.averagingNanos = averagingNanos;
		this.updatedAtNanos = nowNanos;
	}

	void add(double work, long nowNanos) {
		this.sum = decayed(nowNanos) + work;
		this.updatedAtNanos = nowNanos;
	}

	private double decayed(long nowNanos) {
		return this.sum * StrictMath.exp(-Math.max(0, nowNanos - this.updatedAtNanos) / this.averagingNanos);
	}

	/**
	 * Returns the rate.
	 * @param nowNanos the current elapsed time in ns
	 * @return work per second
	 */
	double perSecond(long nowNanos) {
		return decayed(nowNanos) * TimeUnit.SECONDS.toNanos(1) / this.averagingNanos;
	}

}
