package org.comfreyslip.entry;

import java.util.EnumMap;
import java.util.Locale;
import java.util.Map;

import org.HdrHistogram.Histogram;

/**
 * Counters and latency histograms of the daemon, in the Prometheus text format.
 * Micrometer took more processor time at the start than the rest of the daemon, so only
 * its histogram library is used here. All access is on the event loop.
 */
public final class EntryMetrics {

	/** Largest recorded time, in ms; above every deadline. */
	private static final long MAX_MS = 120_000;

	/** Significant digits of a recorded time. */
	private static final int DIGITS = 2;

	private static final double[] QUANTILES = { 0.5, 0.95, 0.99, 1 };

	private final Map<Count, Long> counts = new EnumMap<>(Count.class);

	private final Map<Time, Histogram> times = new EnumMap<>(Time.class);

	/**
	 * Adds one to a counter.
	 * @param count the counter
	 */
	public void add(Count count) {
		this.counts.merge(count, 1L, Long::sum);
	}

	/**
	 * Records a time.
	 * @param time what took the time
	 * @param ms the time in ms
	 */
	public void record(Time time, long ms) {
		this.times.computeIfAbsent(time, (key) -> new Histogram(MAX_MS, DIGITS))
			.recordValue(Math.max(0, Math.min(MAX_MS, ms)));
	}

	/**
	 * Returns a counter.
	 * @param count the counter
	 * @return its value
	 */
	public long value(Count count) {
		return this.counts.getOrDefault(count, 0L);
	}

	/**
	 * Writes all values.
	 * @return the text
	 */
	public String text() {
		StringBuilder text = new StringBuilder(2_000);
		for (Count count : Count.values()) {
			text.append("comfreyslip_")
				.append(count.name().toLowerCase(Locale.ROOT))
				.append("_total ")
				.append(value(count))
				.append('\n');
		}
		this.times.forEach((time, histogram) -> write(text, time, histogram));
		return text.toString();
	}

	private static void write(StringBuilder text, Time time, Histogram histogram) {
		String name = "comfreyslip_" + time.name().toLowerCase(Locale.ROOT) + "_ms";
		for (double quantile : QUANTILES) {
			text.append(name)
				.append("{quantile=\"")
				.append(quantile)
				.append("\"} ")
				.append(histogram.getValueAtPercentile(quantile * 100))
				.append('\n');
		}
		text.append(name).append("_count ").append(histogram.getTotalCount()).append('\n');
	}

	/** What is counted. */
	public enum Count {

		/** Requests that were admitted. */
		REQUESTS,

		/** Requests that got the whole response of an endpoint. */
		SERVED,

		/** Requests that were refused as not run. */
		REFUSED,

		/** Requests that failed with an unknown outcome. */
		FAILED,

		/** Requests that ran into their deadline. */
		TIMED_OUT,

		/** Streams that were broken off. */
		BROKEN_OFF,

		/** Requests whose caller left. */
		CALLER_LEFT,

		/** Requests that went on at another endpoint. */
		MOVED,

		/** Endpoints that were named as the cause of a failure. */
		ENDPOINTS_BLAMED

	}

	/** What is timed. */
	public enum Time {

		/** From the arrival of a request to the first event of its stream. */
		FIRST_EVENT,

		/** From the arrival of a request to its final answer. */
		REQUEST

	}

}
