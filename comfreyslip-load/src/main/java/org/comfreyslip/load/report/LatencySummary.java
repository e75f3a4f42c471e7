package org.comfreyslip.load.report;

import org.HdrHistogram.Histogram;

/**
 * Percentiles of a latency in milliseconds.
 *
 * @param count the number of values
 * @param p50 the median
 * @param p95 the 95th percentile
 * @param p99 the 99th percentile
 * @param max the largest value
 */
public record LatencySummary(long count, double p50, double p95, double p99, double max) {

	private static final double MICROS_PER_MILLI = 1_000;

	/**
	 * Summarises a histogram.
	 * @param micros the histogram in microseconds
	 * @return the summary, all zero for an empty histogram
	 */
	public static LatencySummary of(Histogram micros) {
		if (micros.getTotalCount() == 0) {
			return new LatencySummary(0, 0, 0, 0, 0);
		}
		return new LatencySummary(micros.getTotalCount(), percentile(micros, 50), percentile(micros, 95),
				percentile(micros, 99), micros.getMaxValue() / MICROS_PER_MILLI);
	}

	private static double percentile(Histogram micros, double percent) {
		return micros.getValueAtPercentile(percent) / MICROS_PER_MILLI;
	}

}
