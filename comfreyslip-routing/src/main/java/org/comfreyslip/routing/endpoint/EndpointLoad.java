package org.comfreyslip.routing.endpoint;

import java.util.concurrent.TimeUnit;

import org.comfreyslip.routing.invariant.Invariants;

/**
 * Load of one endpoint: the daemon's own outstanding calls, and the last report of the
 * endpoint, which lags.
 */
public final class EndpointLoad {

	/**
	 * Age at which a report counts half, in calls at the endpoint. A report that is much
	 * older than a call says little about the queue now, and all daemons that trust it
	 * choose alike.
	 */
	public static final double HALF_LIFE_CALLS = 2;

	/**
	 * Longest age at which a report counts half, in ns. Reports come every one to two
	 * seconds, so that a missed report halves its influence.
	 */
	public static final long MAX_HALF_LIFE_NANOS = TimeUnit.SECONDS.toNanos(2);

	/**
	 * Most daemons that are assumed to have as many calls at the endpoint as this one.
	 * With more daemons each has so few calls that its own count says little about the
	 * others.
	 */
	public static final int MAX_ASSUMED_DAEMONS = 8;

	private int outstanding;

	private int outstandingAtReport;

	private int reportedQueue;

	private long measuredAtNanos;

	private boolean hasReport;

	/**
	 * Adds a call.
	 */
	public void onCallStarted() {
		this.outstanding++;
	}

	/**
	 * Removes a call.
	 */
	public void onCallEnded() {
		if (this.outstanding == 0) {
			throw Invariants.violated("more calls ended than started");
		}
		this.outstanding--;
	}

	/**
	 * Takes a load report. A report older than the last one is dropped.
	 * @param queue the calls of all daemons that wait or run at the endpoint
	 * @param measured when the report was measured, in ns of this daemon's clock
	 */
	public void onLoadReport(int queue, long measured) {
		if (this.hasReport && measured - this.measuredAtNanos < 0) {
			return;
		}
		this.hasReport = true;
		this.reportedQueue = queue;
		this.measuredAtNanos = measured;
		this.outstandingAtReport = this.outstanding;
	}

	/**
	 * Returns the daemon's own calls.
	 * @return the count of open calls
	 */
	public int outstanding() {
		return this.outstanding;
	}

	/**
	 * Returns the age of the last report.
	 * @param nowNanos the current time in ns
	 * @return the age in ns, or {@link Long#MAX_VALUE} without a report
	 */
	public long reportAgeNanos(long nowNanos) {
		return (this.hasReport) ? Math.max(0, nowNanos - this.measuredAtNanos) : Long.MAX_VALUE;
	}

	/**
	 * Estimates the calls at the endpoint: the daemon's own calls, which are known
	 * exactly, plus those of other daemons. The latter come from the last report as far
	 * as it is trusted at its age, and otherwise from the assumption that each of the
	 * other daemons has as many calls there as this one.
	 * @param nowNanos the current time in ns
	 * @param serviceNanos the expected time of one call at the endpoint, in ns
	 * @param daemons the live daemons, at least 1
	 * @return the expected count of calls at the endpoint, at least the own ones
	 */
	public double estimateQueue(long nowNanos, long serviceNanos, int daemons) {
		double assumed = (double) this.outstanding * (Math.min(MAX_ASSUMED_DAEMONS, daemons) - 1);
		if (!this.hasReport) {
			return this.outstanding + assumed;
		}
		double halfLife = Math.min(MAX_HALF_LIFE_NANOS, HALF_LIFE_CALLS * Math.max(1, serviceNanos));
		double trust = Math.pow(0.5, reportAgeNanos(nowNanos) / halfLife);
		double others = Math.max(0, this.reportedQueue - this.outstandingAtReport);
		return this.outstanding + trust * others + (1 - trust) * assumed;
	}

}
