package org.comfreyslip.entry.retry;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.HashMap;
import java.util.Map;
import java.util.concurrent.TimeUnit;

/**
 * This daemon's share of the retries that all daemons together may send to a service: a
 * ratio of the requests of a sliding window and a constant. The ratio applies to the
 * daemon's own requests; the constant is divided by the number of daemons.
 */
public final class RetryBudget {

	/**
	 * Share of the constant that is handed out; the rest covers daemons that this one
	 * does not know yet.
	 */
	private static final double SAFE_SHARE = 0.7;

	private double ratio;

	private double constant;

	private long windowNanos;

	private final Map<String, Window> windows = new HashMap<>();

	private int daemons;

	/**
	 * Creates the budget.
	 * @param ratio retries per request
	 * @param constant retries in a window beside the ratio, of all daemons together
	 * @param windowSeconds length of the window, in s
	 * @param daemons number of daemons assumed until it is known
	 */
	public RetryBudget(double ratio, double constant, double windowSeconds, int daemons) {
		this.daemons = daemons;
		setLimits(ratio, constant, windowSeconds);
	}

	/**
	 * Sets the limits for retries from now on.
	 * @param newRatio retries per request
	 * @param newConstant retries in a window beside the ratio, of all daemons together
	 * @param windowSeconds length of the window, in s
	 */
	public void setLimits(double newRatio, double newConstant, double windowSeconds) {
		this.ratio = newRatio;
		this.constant = newConstant;
		this.windowNanos = (long) (windowSeconds * TimeUnit.SECONDS.toNanos(1));
	}

	/**
	 * Sets the number of daemons that share the constant.
	 * @param count the number; at least 1
	 */
	public void setDaemons(int count) {
		this.daemons = Math.max(1, count);
	}

	/**
	 * Records a request of a caller.
	 * @param service the service
	 * @param nowNanos the current time in ns
	 */
	public void onRequest(String service, long nowNanos) {
		window(service).requests.add(nowNanos);
	}

	/**
	 * Takes one retry if the budget allows it.
	 * @param service the service
	 * @param nowNanos the current time in ns
	 * @return whether the retry may be sent
	 */
	public boolean tryTake(String service, long nowNanos) {
		if (!hasLeft(service, nowNanos)) {
			return false;
		}
		window(service).retries.add(nowNanos);
		return true;
	}

	/**
	 * Tells whether the budget allows one more retry.
	 * @param service the service
	 * @param nowNanos the current time in ns
	 * @return whether {@link #tryTake} would take one
	 */
	public boolean hasLeft(String service, long nowNanos) {
		Window window = window(service);
		window.expire(nowNanos - this.windowNanos);
		double allowed = this.ratio * window.requests.size() + SAFE_SHARE * this.constant / this.daemons;
		return window.retries.size() + 1 <= allowed;
	}

	private Window window(String service) {
		return this.windows.computeIfAbsent(service, (name) -> new Window());
	}

	private static final class Window {

		private final Deque<Long> requests = new ArrayDeque<>();

		private final Deque<Long> retries = new ArrayDeque<>();

		void expire(long beforeNanos) {
			expire(this.requests, beforeNanos);
			expire(this.retries, beforeNanos);
		}

		private static void expire(Deque<Long> times, long beforeNanos) {
			while (!times.isEmpty() && times.peekFirst() - beforeNanos < 0) {
				times.removeFirst();
			}
		}

	}

}
