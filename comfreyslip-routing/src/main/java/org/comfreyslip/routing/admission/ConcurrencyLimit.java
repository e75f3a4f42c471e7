package org.comfreyslip.routing.admission;

/**
 * Adaptive concurrency limit: it falls when the recent latency exceeds the long-term
 * latency, and rises by a queue allowance while latency is steady and the limit is in
 * use. The latency of a model request is its time to first token, because the time of a
 * whole response depends on its length.
 */
public final class ConcurrencyLimit {

	/**
	 * Ratio of recent to long-term latency up to which the limit is not lowered.
	 */
	public static final double LATENCY_TOLERANCE = 1.5;

	/**
	 * Smallest limit, so that one slow endpoint does not make a daemon refuse everything.
	 */
	public static final int MIN_LIMIT = 8;

	private static final double RECENT_GAIN = 0.1;

	private static final double LONG_TERM_GAIN = 0.002;

	private static final double SMOOTHING = 0.1;

	private static final double MIN_GRADIENT = 0.5;

	private final int maxLimit;

	private double limit;

	private double recentLatencyNanos;

	private double longTermLatencyNanos;

	/**
	 * Creates a limit.
	 * @param initial the limit before the first latency is recorded
	 * @param max the highest limit; values below {@link #MIN_LIMIT} count as that
	 */
	public ConcurrencyLimit(int initial, int max) {
		this.maxLimit = Math.max(MIN_LIMIT, max);
		this.limit = Math.max(MIN_LIMIT, Math.min(this.maxLimit, initial));
	}

	/**
	 * Adjusts the limit to the latency of a request.
	 * @param latencyNanos the latency in ns
	 * @param inFlight the number of open requests when it was measured
	 */
	public void recordLatency(long latencyNanos, int inFlight) {
		if (this.longTermLatencyNanos == 0) {
			this.longTermLatencyNanos = latencyNanos;
			this.recentLatencyNanos = latencyNanos;
		}
		this.recentLatencyNanos += RECENT_GAIN * (latencyNanos - this.recentLatencyNanos);
		this.longTermLatencyNanos += LONG_TERM_GAIN * (latencyNanos - this.longTermLatencyNanos);
		// After an overload the long-term latency is too high and would hide the next
		// overload.
		this.longTermLatencyNanos = Math.min(this.longTermLatencyNanos, 2 * this.recentLatencyNanos);
		double gradient = LATENCY_TOLERANCE * this.longTermLatencyNanos / Math.max(1, this.recentLatencyNanos);
		double bounded = Math.max(MIN_GRADIENT, Math.min(1, gradient));
		double target = this.limit * bounded + Math.sqrt(this.limit);
		if (target > this.limit && inFlight < this.limit / 2) {
			return;
		}
		double next = this.limit + SMOOTHING * (target - this.limit);
		this.limit = Math.max(MIN_LIMIT, Math.min(this.maxLimit, next));
	}

	/**
	 * Returns the current limit.
	 * @return the number of requests that may be open
	 */
	public int limit() {
		return (int) this.limit;
	}

}
