package org.comfreyslip.entry.http;

import java.util.concurrent.TimeUnit;

import org.comfreyslip.entry.model.Route;

/**
 * Time at which a request times out.
 *
 * @param nanos steady time in ns
 */
record RequestDeadline(long nanos) {

	/**
	 * Least time until the deadline with which a send is started, in ms: one round trip
	 * and a short wait.
	 */
	private static final long MIN_REMAINING_MS = 20;

	/**
	 * Returns the deadline of a request: the timeout of its route, or the time that the
	 * caller will wait if that is shorter.
	 * @param arrivalNanos steady time in ns at which the request arrived
	 * @param route its route
	 * @param fields the fields of its head
	 * @return the deadline
	 */
	static RequestDeadline of(long arrivalNanos, Route route, HeaderTranslator.RequestFields fields) {
		long waitMs = (fields.deadlineMs() >= 0) ? Math.min(route.timeoutMs(), fields.deadlineMs()) : route.timeoutMs();
		return new RequestDeadline(arrivalNanos + TimeUnit.MILLISECONDS.toNanos(waitMs));
	}

	/**
	 * Returns the time until the deadline.
	 * @param nowNanos the current steady time in ns
	 * @return the time in ms; negative after the deadline
	 */
	long remainingMs(long nowNanos) {
		return TimeUnit.NANOSECONDS.toMillis(this.nanos - nowNanos);
	}

	/**
	 * Tells whether there is enough time for a send.
	 * @param nowNanos the current steady time in ns
	 * @return whether a send may be started
	 */
	boolean allowsSend(long nowNanos) {
		return remainingMs(nowNanos) >= MIN_REMAINING_MS;
	}

	/**
	 * Tells whether the request has timed out.
	 * @param nowNanos the current steady time in ns
	 * @return whether less than 1 ms is left
	 */
	boolean isPast(long nowNanos) {
		return remainingMs(nowNanos) <= 0;
	}

}
