package org.comfreyslip.routing.plan;

import java.util.concurrent.TimeUnit;

import org.comfreyslip.routing.topology.LinkSpec;

/**
 * Expected transfer time over one link: the configured time multiplied by a slowdown
 * factor that follows measured transfers.
 */
final class LinkEstimate {

	/**
	 * Half-life of a measured slowdown that no further transfer confirms, in ns. Without
	 * this decay, a link that plans avoid would never be measured again.
	 */
	static final long HALF_LIFE_NANOS = TimeUnit.SECONDS.toNanos(30);

	private static final double SLOWDOWN_GAIN = 0.3;

	// A single long pause during a measured transfer must not make a link unusable.
	private static final double MAX_SLOWDOWN_FACTOR = 1000;

	private final double latencyNanos;

	private final double nanosPerByte;

	private double slowdownFactor = 1;

	private long measuredAtNanos;

	LinkEstimate(LinkSpec spec) {
		this.latencyNanos = spec.latencyMicros() * 1e3;
		this.nanosPerByte = 8e3 / Math.max(1, spec.bandwidthMbit());
	}

	void recordTransfer(long bytes, long elapsedNanos, long nowNanos) {
		double measured = elapsedNanos / Math.max(1, this.latencyNanos + bytes * this.nanosPerByte);
		double previous = slowdownFactor(nowNanos);
		double sample = Math.max(1, Math.min(MAX_SLOWDOWN_FACTOR, measured));
		this.slowdownFactor = previous + SLOWDOWN_GAIN * (sample - previous);
		this.measuredAtNanos = nowNanos;
	}

	double slowdownFactor(long nowNanos) {
		double halfLives = (double) Math.max(0, nowNanos - this.measuredAtNanos) / HALF_LIFE_NANOS;
		return 1 + (this.slowdownFactor - 1) * Math.pow(0.5, halfLives);
	}

	double transferNanos(double bytes, long nowNanos) {
		return (this.latencyNanos + bytes * this.nanosPerByte) * slowdownFactor(nowNanos);
	}

}
