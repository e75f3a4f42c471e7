package org.comfreyslip.routing.endpoint;

import java.util.concurrent.TimeUnit;

/**
 * Adaptive time limit from measured times: smoothed mean plus four mean deviations, as in
 * RFC 6298.
 */
public final class EndpointTiming {

	/** Lower limit in ns; a garbage collection pause of an engine must fit in. */
	public static final long MIN_TIMEOUT_NANOS = TimeUnit.MILLISECONDS.toNanos(100);

	/** Upper limit in ns; also the limit while nothing was measured. */
	public static final long MAX_TIMEOUT_NANOS = TimeUnit.SECONDS.toNanos(10);

	private static final double MEAN_GAIN = 0.125;

	private static final double DEVIATION_GAIN = 0.25;

	private static final int DEVIATION_MULTIPLIER = 4;

	private double meanNanos;

	private double deviationNanos;

	private boolean measured;

	/**
	 * Adds a measured time per unit of work.
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
	 * Returns the time limit for a call.
	 * @param units the units of work of the call, 1 for a step of one token
	 * @return the limit in ns, between {@link #MIN_TIMEOUT_NANOS} and
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
	 * @param defaultNanos the value while nothing was measured, in ns
	 * @return the time in ns
	 */
	public long meanNanos(long defaultNanos) {
		return (this.measured) ? (long) this.meanNanos : defaultNanos;
	}

}
