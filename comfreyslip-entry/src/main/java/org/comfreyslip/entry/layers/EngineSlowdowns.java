package org.comfreyslip.entry.layers;

import java.util.HashMap;
import java.util.Map;
import java.util.concurrent.TimeUnit;

/**
 * Slowdown factors of engines. A daemon probes an engine for its report only when a
 * stream through it is slow, since reports are charged for, and shares what it learns
 * with the other daemons.
 */
public final class EngineSlowdowns {

	/**
	 * Factor above which an engine counts as slow; smaller slowdowns cannot be
	 * distinguished from the usual variation of forward passes.
	 */
	public static final double SLOW_FACTOR = 1.3;

	/** Age up to which a report is used, in ns; a few probe intervals. */
	private static final long MAX_REPORT_AGE_NANOS = TimeUnit.MILLISECONDS.toNanos(2_500);

	/** Least time between two probes of one engine, in ns. */
	private static final long PROBE_INTERVAL_NANOS = TimeUnit.MILLISECONDS.toNanos(900);

	private final Map<String, SlowdownReport> ownReports = new HashMap<>();

	private final Map<String, SlowdownReport> peerReports = new HashMap<>();

	/**
	 * Tells whether an engine should be probed now, and if so records the start of the
	 * probe.
	 * @param id identity of the endpoint
	 * @param nowNanos the current time in ns
	 * @return whether the last probe or report is old enough for a new probe
	 */
	public boolean tryStartProbe(String id, long nowNanos) {
		SlowdownReport report = this.ownReports.get(id);
		if (report != null && nowNanos - report.updatedAtNanos() < PROBE_INTERVAL_NANOS) {
			return false;
		}
		this.ownReports.put(id, new SlowdownReport((report != null) ? report.factor() : 1, nowNanos));
		return true;
	}

	/**
	 * Records a report that this daemon received from an engine.
	 * @param id identity of the endpoint
	 * @param factor current run time divided by the engine's usual run time
	 * @param nowNanos the current time in ns
	 */
	public void recordOwnReport(String id, double factor, long nowNanos) {
		this.ownReports.put(id, new SlowdownReport(factor, nowNanos));
	}

	/**
	 * Records a slowdown factor that another daemon reported.
	 * @param id identity of the endpoint
	 * @param factor current run time divided by the engine's usual run time
	 * @param nowNanos the current time in ns
	 */
	public void recordPeerReport(String id, double factor, long nowNanos) {
		this.peerReports.put(id, new SlowdownReport(factor, nowNanos));
	}

	/**
	 * Returns the slow engines according to the reports that this daemon received itself.
	 * @param nowNanos the current time in ns
	 * @return slowdown factors by endpoint, each above {@link #SLOW_FACTOR}; may be empty
	 */
	public Map<String, Double> ownSlowEngines(long nowNanos) {
		Map<String, Double> slow = new HashMap<>();
		this.ownReports.forEach((id, report) -> {
			if (report.factor() > SLOW_FACTOR && nowNanos - report.updatedAtNanos() < MAX_REPORT_AGE_NANOS) {
				slow.put(id, report.factor());
			}
		});
		return slow;
	}

	/**
	 * Returns the slowdown factor of an engine.
	 * @param id identity of the endpoint
	 * @param nowNanos the current time in ns
	 * @return the larger of the own and the reported factor, at least 1; 1 if no current
	 * report is known
	 */
	public double slowdownFactor(String id, long nowNanos) {
		return Math.max(currentFactor(this.ownReports.get(id), nowNanos),
				currentFactor(this.peerReports.get(id), nowNanos));
	}

	private static double currentFactor(SlowdownReport report, long nowNanos) {
		return (report != null && nowNanos - report.updatedAtNanos() < MAX_REPORT_AGE_NANOS)
				? Math.max(1, report.factor()) : 1;
	}

	/**
	 * What is known of one engine.
	 *
	 * @param factor the last reported slowdown factor, 1 before the first report
	 * @param updatedAtNanos when the last report arrived or the last probe began, in ns
	 */
	private record SlowdownReport(double factor, long updatedAtNanos) {
	}

}
