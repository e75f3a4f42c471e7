package org.comfreyslip.routing.endpoint;

import java.util.concurrent.TimeUnit;

import org.comfreyslip.routing.invariant.Invariants;

/**
 * Load of one endpoint: the daemon's own outstanding calls, and the last report of the
 * endpoint, which lags.
 */
public final class EndpointLoad {

	/**
	 * Age at which a report counts half, in ns. Reports come every one to two seconds, so
	 * that a missed report halves its influence.
	 */
	public static final long REPORT_HALF_LIFE_NANOS = TimeUnit.SECONDS.toNanos(2);

	private int outstanding;

	private int outstandingAtReport;

	private int reportedQueue;

	private long measuredAtNanos;

	private boolean reported;

	/**
	 * Adds a call.
	 */
	public void onStart() {
		this.outstanding++;
	}

	/**
	 * Removes a call.
	 */
	public void onEnd() {
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
	public void onReport(int queue, long measured) {
		if (this.reported && measured - this.measuredAtNanos < 0) {
			return;
		}
		this.reported = true;
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
		return (this.reported) ? Math.max(0, nowNanos - this.measuredAtNanos) : Long.MAX_VALUE;
	}

	/**
	 * Estimates the calls at the endpoint: the report, weighted by its age, plus what the
	 * daemon itself added since; never below its own calls.
	 * @param nowNanos the current time in ns
	 * @return the expected count of calls at the endpoint
	 */
	public double queueEstimate(long nowNanos) {
		if (!this.reported) {
			return this.outstanding;
		}
		double halfLives = (double) reportAgeNanos(nowNanos) / REPORT_HALF_LIFE_NANOS;
		double trusted = this.reportedQueue * Math.pow(0.5, halfLives);
		return Math.max(this.outstanding, trusted + this.outstanding - this.outstandingAtReport);
	}

}
