package org.comfreyslip.standins;

import java.util.concurrent.TimeUnit;

/**
 * Token bucket. Not thread-safe.
 */
public final class RateBucket {

	private static final double NANOS_PER_SECOND = TimeUnit.SECONDS.toNanos(1);

	private final double perSecond;

	private final double capacity;

	private double available;

	private long lastNanos;

	/**
	 * Creates a full bucket.
	 * @param perSecond units added per second
	 * @param capacity the most units it holds
	 * @param nowNanos the current time
	 */
	public RateBucket(double perSecond, double capacity, long nowNanos) {
		this.perSecond = perSecond;
		this.capacity = capacity;
		this.available = capacity;
		this.lastNanos = nowNanos;
	}

	/**
	 * Takes units. A request above the capacity is served from a full bucket, which it
	 * leaves in debt.
	 * @param units how many
	 * @param nowNanos the current time
	 * @return 0 if they were taken, else the milliseconds after which to ask again
	 */
	public long take(double units, long nowNanos) {
		double elapsed = (nowNanos - this.lastNanos) / NANOS_PER_SECOND;
		this.available = Math.min(this.capacity, this.available + elapsed * this.perSecond);
		this.lastNanos = nowNanos;
		double needed = Math.min(units, this.capacity);
		if (this.available >= needed) {
			this.available -= units;
			return 0;
		}
		return Math.max(1, (long) Math.ceil((needed - this.available) / this.perSecond * 1000));
	}

}
