package org.comfreyslip.routing.endpoint;

import java.util.concurrent.TimeUnit;

import org.comfreyslip.routing.invariant.Invariants;

/**
 * Load of one endpoint: the daemon's own outstanding calls, which are known exactly, and
 * the endpoint's last load report, which lags.
 */
public final class EndpointLoad {

	/**
	 * Age at which the weight of a report has halved, as a multiple of the expected call
	 * time. A report that is much older than one call says little about the current
	 * queue, and all daemons that rely on it make the same choice.
	 */
	public static final double HALF_LIFE_CALLS = 2;

	/**
	 * Upper limit of the age at which the weight of a report has halved, in ns. Reports
	 * come every one to two seconds, so one missed report halves its weight.
	 */
	public static final long MAX_HALF_LIFE_NANOS = TimeUnit.SECONDS.toNanos(2);

	/**
	 * The most daemons that are assumed to have as many calls at the endpoint as this
	 * one. With more daemons, each has so few calls that its own count says little about
	 * the others.
	 */
	public static final int MAX_ASSUMED_DAEMONS = 8;

	private int outstanding;

	private int outstandingAtReport;

	private int reportedQueue;

	private long measuredAtNanos;

	private boolean hasReport;

	/**
	 * Counts a call that starts.
	 */
	public void onCallStarted() {
		this.outstanding++;
	}

	/**
	 * Removes a call that ended from the count.
	 */
	public void onCallEnded() {
		if (this.outstanding == 0) {
			throw Invariants.violated("more calls ended than started");
		}
		this.outstanding--;
	}

	/**
	 * Stores a load report. A report older than the last one is ignored.
	 * @param queue the count of calls of all daemons that are queued or running at the
	 * endpoint
	 * @param measuredNanos when the report was measured, in ns of this daemon's clock
	 */
	public void onLoadReport(int queue, long measuredNanos) {
		if (this.hasReport && measuredNanos - this.measuredAtNanos < 0) {
			return;
		}
		this.hasReport = true;
		this.reportedQueue = queue;
		this.measuredAtNanos = measuredNanos;
		this.outstandingAtReport = this.outstanding;
	}

	/**
	 * Returns the number of this daemon's open calls at the endpoint.
	 * @return the count, from 0
	 */
	public int outstanding() {
		return this.outstanding;
	}

	/**
	 * Returns the age of the last report.
	 * @param nowNanos the current time in ns
	 * @return the age in ns, or {@link Long#MAX_VALUE} if there was no report
	 */
	public long reportAgeNanos(long nowNanos) {
		return (this.hasReport) ? Math.max(0, nowNanos - this.measuredAtNanos) : Long.MAX_VALUE;
	}

	/**
	 * Estimates the calls at the endpoint: the daemon's own calls, which are known
	 * exactly, plus those of other daemons. The latter are the weighted mean of the last
	 * report, whose weight falls with its age, and the assumption that each of the other
	 * daemons has as many calls there as this one.
	 * @param nowNanos the current time in ns
	 * @param serviceNanos the expected time of one call at the endpoint, in ns
	 * @param daemons the number of live daemons, this one included, at least 1
	 * @return the estimated count of calls at the endpoint, at least this daemon's own
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
