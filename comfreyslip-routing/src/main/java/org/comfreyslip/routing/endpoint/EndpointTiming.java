package org.comfreyslip.routing.endpoint;

import java.util.concurrent.TimeUnit;

/**
 * Adaptive timeout from measured call times: the smoothed mean plus four mean deviations,
 * as in RFC 6298.
 */
public final class EndpointTiming {

	/**
	 * Shortest timeout in ns; it must be longer than a garbage collection pause of an
	 * engine.
	 */
	public static final long MIN_TIMEOUT_NANOS = TimeUnit.MILLISECONDS.toNanos(100);

	/** Longest timeout in ns; also the timeout before the first measurement. */
	public static final long MAX_TIMEOUT_NANOS = TimeUnit.SECONDS.toNanos(10);

	private static final double MEAN_GAIN = 0.125;

	private static final double DEVIATION_GAIN = 0.25;

	private static final int DEVIATION_MULTIPLIER = 4;

	private double meanNanos;

	private double deviationNanos;

	private boolean measured;

	/**
	 * Adds the measured time of one unit of work.
	 * @param elapsedNanos the time in ns, not negative
	 */
	public void addMeasurement(long elapsedNanos) {
		if (!this.measured) {
			this.measured = true;
			this.meanNanos = elapsedNanos;
			this.deviationNanos = elapsedNanos / 2.0;
			return;
		}
		double error = elapsedNanos - this.meanNanos;
		this.deviationNanos += DEVIATION_GAIN * (Math.abs(error) - this.deviationNanos);
		this.meanNanos += MEAN_GAIN * error;
	}

	/**
	 * Returns the timeout for a call.
	 * @param units the units of work of the call, 1 for a step of one token
	 * @return the timeout in ns, between {@link #MIN_TIMEOUT_NANOS} and
	 * {@link #MAX_TIMEOUT_NANOS}
	 */
	public long timeoutNanos(double units) {
		if (!this.measured) {
			return MAX_TIMEOUT_NANOS;
		}
		double limit = (this.meanNanos + DEVIATION_MULTIPLIER * this.deviationNanos) * Math.max(1, units);
		return (long) Math.max(MIN_TIMEOUT_NANOS, Math.min(MAX_TIMEOUT_NANOS, limit));
	}

	/**
	 * Returns the smoothed time of one unit of work.
	 * @param defaultNanos the value to return before the first measurement, in ns
	 * @return the time in ns
	 */
	public long meanNanos(long defaultNanos) {
		return (this.measured) ? (long) this.meanNanos : defaultNanos;
	}

}
