package org.comfreyslip.load.policy;

import java.util.Locale;

import org.HdrHistogram.Histogram;

/**
 * Result of one case.
 *
 * @param settings the case
 * @param boundPerSecond the bound, in calls per second
 * @param offered the calls that arrived in the measured time
 * @param completed the calls that were completed in the measured time
 * @param inTime those of them that took at most {@link QueueLoop#DEADLINE_NANOS}
 * @param latencies the latencies of the completed calls, in microseconds
 * @param longestQueue the longest queue at any engine
 */
public record PolicyResult(PolicyCase settings, double boundPerSecond, long offered, long completed, long inTime,
		Histogram latencies, int longestQueue) {

	/** The header of the CSV lines. */
	public static final String HEADER = "kinds,policy,load_percent,bound_per_s,offered_per_s,completed_per_s,"
			+ "in_time_per_s,p50_ms,p95_ms,p99_ms,max_ms,longest_queue";

	/**
	 * Returns the result as a CSV line.
	 * @return the line without a line break
	 */
	public String toCsv() {
		double seconds = this.settings.seconds();
		return String.format(Locale.ROOT, "%s,%s,%d,%.0f,%.0f,%.0f,%.0f,%.1f,%.1f,%.1f,%.1f,%d", this.settings.mix(),
				this.settings.policy(), this.settings.loadPercent(), this.boundPerSecond, this.offered / seconds,
				this.completed / seconds, this.inTime / seconds, millis(50), millis(95), millis(99), millis(100),
				this.longestQueue);
	}

	private double millis(double percentile) {
		return this.latencies.getValueAtPercentile(percentile) / 1e3;
	}

}
