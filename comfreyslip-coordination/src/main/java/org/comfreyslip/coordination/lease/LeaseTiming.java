package org.comfreyslip.coordination.lease;

import org.comfreyslip.coordination.Invariant;

/**
 * Durations of a lease, in nanoseconds, equal in all daemons.
 *
 * @param lease how long a contender waits after the last renewal that it saw
 * @param margin how much earlier the holder stops, for clocks whose rates differ
 * @param renewal time between renewals
 * @param pause time between two calls after which the process may have been paused
 */
public record LeaseTiming(long lease, long margin, long renewal, long pause) {

	/**
	 * Creates durations.
	 * @param lease the lease time
	 * @param margin the holder's margin
	 * @param renewal the renewal interval
	 * @param pause the longest time between two calls of a process that runs
	 */
	public LeaseTiming {
		Invariant.check(margin > 0 && renewal > 0 && renewal * 2 < lease - margin,
				"two renewals must fit into the lease time without the margin");
		Invariant.check(pause > 0 && pause < lease, "a pause must be noticed within the lease time");
	}

	/**
	 * Returns durations derived from the lease time: a tenth as margin, a quarter between
	 * renewals and after which a pause is assumed.
	 * @param lease the lease time
	 * @return the durations
	 */
	public static LeaseTiming ofLease(long lease) {
		return new LeaseTiming(lease, lease / 10, lease / 4, lease / 4);
	}

}
