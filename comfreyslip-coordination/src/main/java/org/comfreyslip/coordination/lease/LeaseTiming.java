package org.comfreyslip.coordination.lease;

import org.comfreyslip.coordination.Invariant;

/**
 * Durations of a lease, in nanoseconds, equal in all daemons.
 *
 * @param leaseNanos the lease time: how long a contender waits after the last renewal
 * that it saw
 * @param marginNanos how much earlier the holder stops to use the lease, because the
 * rates of two clocks may differ
 * @param renewalIntervalNanos time between two renewals by the holder
 * @param pauseThresholdNanos time between two calls of the holder from which on its
 * process is taken to have been paused
 */
public record LeaseTiming(long leaseNanos, long marginNanos, long renewalIntervalNanos, long pauseThresholdNanos) {

	/**
	 * Creates durations.
	 * @param leaseNanos the lease time, greater than the margin and two renewal intervals
	 * together
	 * @param marginNanos the holder's margin, greater than 0
	 * @param renewalIntervalNanos time between two renewals, greater than 0
	 * @param pauseThresholdNanos the longest time between two calls of a process that is
	 * not paused, greater than 0 and less than the lease time
	 * @throws org.comfreyslip.coordination.CodedException with
	 * {@link org.comfreyslip.coordination.ErrorCode#INVARIANT_VIOLATED} if a duration is
	 * out of these bounds
	 */
	public LeaseTiming {
		Invariant.check(
				marginNanos > 0 && renewalIntervalNanos > 0 && renewalIntervalNanos * 2 < leaseNanos - marginNanos,
				"two renewals must fit into the lease time without the margin");
		Invariant.check(pauseThresholdNanos > 0 && pauseThresholdNanos < leaseNanos,
				"a pause must be detected within the lease time");
	}

	/**
	 * Returns durations derived from the lease time: a tenth of it as the margin, a
	 * quarter as the renewal interval and as the pause threshold.
	 * @param leaseNanos the lease time in nanoseconds
	 * @return the durations
	 */
	public static LeaseTiming ofLease(long leaseNanos) {
		return new LeaseTiming(leaseNanos, leaseNanos / 10, leaseNanos / 4, leaseNanos / 4);
	}

}
