package org.comfreyslip.entry.http;

import java.util.concurrent.TimeUnit;

/**
 * How long a request has been without progress, and how often a silent stream is probed.
 */
final class StreamActivity {

	/**
	 * Least time between two probes for one stream, in ms: the age of the engines'
	 * reports.
	 */
	private static final long PROBE_INTERVAL_MS = 200;

	/** Weight of the newest gap in the moving average of the gaps between events. */
	private static final double NEWEST_GAP_WEIGHT = 0.25;

	/**
	 * Steady time in ns of the last progress: a send, the head or events of a stream, or
	 * a change of back-pressure.
	 */
	private long lastProgressNanos;

	/** Steady time in ns of the last probe; 0 before the first one. */
	private long lastProbeNanos;

	/** Whether the result of a probe for this stream is still due. */
	private boolean probeRunning;

	/** Least time to the next probe, in ms; doubles with each probe without progress. */
	private long probeIntervalMs = PROBE_INTERVAL_MS;

	/** Moving average of the gaps between events, in ms. */
	private double meanEventGapMs;

	/**
	 * Records a send, the head of a stream, or a change of back-pressure.
	 * @param nowNanos the current steady time in ns
	 */
	void onProgress(long nowNanos) {
		this.lastProgressNanos = nowNanos;
	}

	/**
	 * Records the arrival of events.
	 * @param streamStarted whether earlier events have arrived, so that the gap counts
	 * @param nowNanos the current steady time in ns
	 */
	void onEvents(boolean streamStarted, long nowNanos) {
		double gapMs = (nowNanos - this.lastProgressNanos) / 1e6;
		this.lastProgressNanos = nowNanos;
		this.probeIntervalMs = PROBE_INTERVAL_MS;
		if (streamStarted) {
			this.meanEventGapMs += NEWEST_GAP_WEIGHT * (gapMs - this.meanEventGapMs);
		}
	}

	/**
	 * Records the start of a probe; the next one is due after twice the time if there was
	 * no progress since the last one.
	 * @param nowNanos the current steady time in ns
	 */
	void onProbeStarted(long nowNanos) {
		this.probeRunning = true;
		if (this.lastProbeNanos - this.lastProgressNanos > 0) {
			this.probeIntervalMs = 2 * this.probeIntervalMs;
		}
		this.lastProbeNanos = nowNanos;
	}

	/** Records that the result of the probe has arrived. */
	void onProbeEnded() {
		this.probeRunning = false;
	}

	/**
	 * Tells whether the stream was probed too recently for another probe.
	 * @param nowNanos the current steady time in ns
	 * @return whether a result is still due or the interval has not passed
	 */
	boolean isProbedRecently(long nowNanos) {
		return this.probeRunning
				|| TimeUnit.NANOSECONDS.toMillis(nowNanos - this.lastProbeNanos) < this.probeIntervalMs;
	}

	long lastProgressNanos() {
		return this.lastProgressNanos;
	}

	/**
	 * Returns the time since the last progress.
	 * @param nowNanos the current steady time in ns
	 * @return the time in ms
	 */
	long silenceMs(long nowNanos) {
		return TimeUnit.NANOSECONDS.toMillis(nowNanos - this.lastProgressNanos);
	}

	/**
	 * Returns the moving average of the gaps between events.
	 * @return the average in ms; 0 before the second arrival of events
	 */
	double meanEventGapMs() {
		return this.meanEventGapMs;
	}

}
