package org.comfreyslip.entry;

import java.util.EnumMap;
import java.util.Locale;
import java.util.Map;

import org.HdrHistogram.Histogram;
import org.comfreyslip.entry.http.SendFailureCause;
import org.comfreyslip.entry.http.StrayBytes;

/**
 * Counters and latency histograms of the daemon, exposed in the Prometheus text format.
 * Micrometer used more CPU time at the start than the rest of the daemon, so only its
 * histogram library is used. Must be accessed on the event loop only.
 */
public final class EntryMetrics {

	/** Largest time that can be recorded, in ms; longer than every deadline. */
	private static final long MAX_TIME_MS = 120_000;

	/** Number of significant decimal digits of a recorded time. */
	private static final int SIGNIFICANT_DIGITS = 2;

	/** Quantiles that are written for each histogram; 1 is the maximum. */
	private static final double[] QUANTILES = { 0.5, 0.95, 0.99, 1 };

	private final Map<Count, Long> counts = new EnumMap<>(Count.class);

	private final Map<SendFailureCause, Long> brokenSends = new EnumMap<>(SendFailureCause.class);

	private final Map<StrayBytes, Long> strayBytes = new EnumMap<>(StrayBytes.class);

	private final Map<Time, Histogram> times = new EnumMap<>(Time.class);

	/**
	 * Increments a counter by one.
	 * @param count the counter
	 */
	public void increment(Count count) {
		this.counts.merge(count, 1L, Long::sum);
	}

	/**
	 * Counts a send to an endpoint that ended without a complete response.
	 * @param cause why it ended
	 */
	public void countBrokenSend(SendFailureCause cause) {
		this.brokenSends.merge(cause, 1L, Long::sum);
	}

	/**
	 * Counts that an endpoint sent bytes that belong to no response.
	 * @param kind where on the connection they arrived
	 */
	public void countStrayBytes(StrayBytes kind) {
		this.strayBytes.merge(kind, 1L, Long::sum);
	}

	/**
	 * Records a time in a histogram.
	 * @param time the histogram
	 * @param ms the time, in ms; limited to 0 to {@link #MAX_TIME_MS}
	 */
	public void record(Time time, long ms) {
		this.times.computeIfAbsent(time, (key) -> new Histogram(MAX_TIME_MS, SIGNIFICANT_DIGITS))
			.recordValue(Math.max(0, Math.min(MAX_TIME_MS, ms)));
	}

	/**
	 * Returns the value of a counter.
	 * @param count the counter
	 * @return the value; 0 if it was never incremented
	 */
	public long value(Count count) {
		return this.counts.getOrDefault(count, 0L);
	}

	/**
	 * Returns all metrics in the Prometheus text format.
	 * @return the text, with every counter and with the histograms that have values
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
		for (SendFailureCause cause : SendFailureCause.values()) {
			write(text, "sends_broken_total{cause", cause, this.brokenSends.getOrDefault(cause, 0L));
		}
		for (StrayBytes kind : StrayBytes.values()) {
			write(text, "stray_bytes_total{where", kind, this.strayBytes.getOrDefault(kind, 0L));
		}
		this.times.forEach((time, histogram) -> write(text, time, histogram));
		return text.toString();
	}

	private static void write(StringBuilder text, String nameAndLabel, Enum<?> label, long value) {
		text.append("comfreyslip_")
			.append(nameAndLabel)
			.append("=\"")
			.append(label.name().toLowerCase(Locale.ROOT))
			.append("\"} ")
			.append(value)
			.append('\n');
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

	/** The counters. The names of the constants are part of the metrics' names. */
	public enum Count {

		/** Requests that were admitted. */
		REQUESTS,

		/** Requests whose caller got the complete response of an endpoint. */
		SERVED,

		/** Requests that were refused and have not run. */
		REFUSED,

		/** Requests that failed with an unknown outcome. */
		FAILED,

		/** Requests whose deadline or timeout passed. */
		TIMED_OUT,

		/** Streams that ended before their last event. */
		BROKEN_OFF,

		/** Requests whose caller closed its connection. */
		CALLER_LEFT,

		/** Number of times that a request was moved to another endpoint. */
		MOVED,

		/** Number of times that an endpoint was named as the cause of a failure. */
		ENDPOINTS_BLAMED,

		/** Sends of streams over a path that changes the data centre. */
		PATHS_ACROSS_DATA_CENTRES,

		/** Searches for a path that found none. */
		PATHS_MISSING,

		/** Calls to engines for their reports because of a slow or silent stream. */
		REPORTS_FETCHED,

		/** Number of times that the store came back with an older copy of its records. */
		STORE_WENT_BACK,

		/** Requests refused because requests like them crash endpoints. */
		REFUSED_AS_CRASHING,

		/** Connections to endpoints for requests that could not be opened. */
		CONNECTS_FAILED,

		/** Connections without a request that showed whether endpoints are reached. */
		REACH_TRIALS,

		/** Requests passed on to another daemon, each time counted. */
		RELAYED,

		/** Requests taken from other daemons. */
		RELAYS_TAKEN,

		/** Requests of other daemons that were declined. */
		RELAYS_DECLINED,

		/** Sends that endpoints of plain services failed or refused. */
		PLAIN_FAILURES,

		/** Retries taken from the retry budget, of all services. */
		RETRIES_TAKEN,

		/** Retries that the retry budget refused, of all services. */
		RETRIES_REFUSED

	}

	/** The histograms. The names of the constants are part of the metrics' names. */
	public enum Time {

		/** Time from the arrival of a request to the first event of its stream. */
		FIRST_EVENT,

		/** The same, of streams over engines with prompts up to the mean length. */
		FIRST_EVENT_UP_TO_MEAN,

		/** The same, with longer prompts, up to twice the mean length. */
		FIRST_EVENT_UP_TO_TWICE_MEAN,

		/** The same, with prompts above twice the mean length. */
		FIRST_EVENT_ABOVE_TWICE_MEAN,

		/** Time from the arrival of a request to its final response. */
		REQUEST,

		/** Age of the oldest load of another daemon when a path was chosen. */
		PEER_LOADS_AGE,

		/** Time from a send to a plain endpoint to its response, without failures. */
		PLAIN_RESPONSE

	}

}
