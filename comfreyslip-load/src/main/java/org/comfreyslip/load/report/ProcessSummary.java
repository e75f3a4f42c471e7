package org.comfreyslip.load.report;

/**
 * What one daemon process used during the measured time.
 *
 * @param cpuSeconds processor time
 * @param cores processor time per measured second
 * @param residentStartKilobytes resident memory before the first request
 * @param residentEndKilobytes resident memory at the end of the arrivals
 * @param heapStartMegabytes the least heap after a garbage collection before the first
 * request, -1 without one
 * @param heapEndMegabytes the least heap after a garbage collection in the measured time,
 * -1 without one
 */
public record ProcessSummary(double cpuSeconds, double cores, long residentStartKilobytes, long residentEndKilobytes,
		long heapStartMegabytes, long heapEndMegabytes) {
}
