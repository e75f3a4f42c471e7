package org.comfreyslip.entry.retry;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.HashMap;
import java.util.Map;
import java.util.OptionalInt;
import java.util.OptionalLong;
import java.util.concurrent.TimeUnit;

/**
 * This daemon's share of the retries that all daemons together may send to a service. In
 * each sliding window a service may get a ratio of its requests plus a constant number of
 * retries. The ratio applies to this daemon's own requests; the constant is divided by
 * the number of daemons. A process that has just started does not know what the process
 * before it has taken, nor which daemons start with it, and grants less. Unlike the class
 * of this name in {@code org.comfreyslip.routing.admission}, it is shared between
 * daemons, keeps a window for each service and grants retries before the first request.
 */
public final class RetryBudget {

	/**
	 * Share of the constant that is granted; the rest is kept back for daemons that this
	 * one does not know yet.
	 */
	private static final double GRANTED_SHARE = 0.7;

	/**
	 * Share of the constant that is granted until the others have counted this daemon for
	 * a window: what {@link #GRANTED_SHARE} keeps back. It grows from 0 in the first
	 * window.
	 */
	private static final double STARTING_SHARE = 1 - GRANTED_SHARE;

	/**
	 * Longest time after the start of the process in which daemons may not know it yet,
	 * in ns: until they have read its announcement, and a window.
	 */
	static final long SETTLING_NANOS = TimeUnit.SECONDS.toNanos(75);

	/**
	 * Least number of daemons to assume until then, since others may be starting; larger
	 * than today's deployments.
	 */
	private static final int LEAST_STARTING_DAEMONS = 12;

	private final long startedAtNanos;

	private double ratio;

	private double constant;

	private long windowNanos;

	private final Map<String, Window> windows = new HashMap<>();

	/** Number of daemons that share the constant; 0 while it is not known. */
	private int daemonCount;

	/** Time in ns from which all others count this daemon; empty if it is not known. */
	private OptionalLong countedSinceNanos = OptionalLong.empty();

	/**
	 * Creates a budget.
	 * @param ratio retries allowed per request
	 * @param constant retries allowed in a window in addition to the ratio, for all
	 * daemons together
	 * @param windowSeconds length of the window, in s
	 * @param startedAtNanos time at which the process started, in ns
	 */
	public RetryBudget(double ratio, double constant, double windowSeconds, long startedAtNanos) {
		this.startedAtNanos = startedAtNanos;
		setLimits(ratio, constant, windowSeconds);
	}

	/**
	 * Changes the limits; they apply to all later retries.
	 * @param newRatio retries allowed per request
	 * @param newConstant retries allowed in a window in addition to the ratio, for all
	 * daemons together
	 * @param windowSeconds length of the window, in s
	 */
	public void setLimits(double newRatio, double newConstant, double windowSeconds) {
		this.ratio = newRatio;
		this.constant = newConstant;
		this.windowNanos = (long) (windowSeconds * TimeUnit.SECONDS.toNanos(1));
	}

	/**
	 * Sets the number of daemons that share the constant.
	 * @param count the number, this daemon included; empty if it is not known, so that
	 * nothing of the constant is granted
	 * @param sinceNanos time in ns from which all others count this daemon; empty if it
	 * is not known
	 * @return whether the number has changed
	 */
	public boolean setDaemonCount(OptionalInt count, OptionalLong sinceNanos) {
		int before = this.daemonCount;
		this.countedSinceNanos = sinceNanos;
		this.daemonCount = count.orElse(0);
		return this.daemonCount != before;
	}

	/**
	 * Returns the number of daemons that share the constant.
	 * @return the number, this daemon included; 0 while it is not known
	 */
	public int daemonCount() {
		return this.daemonCount;
	}

	/**
	 * Records a caller's request, which raises the number of allowed retries.
	 * @param service name of the service
	 * @param nowNanos the current time in ns
	 */
	public void recordRequest(String service, long nowNanos) {
		window(service).requestNanos.add(nowNanos);
	}

	/**
	 * Takes one retry from the budget if it allows one.
	 * @param service name of the service
	 * @param nowNanos the current time in ns
	 * @return whether the retry may be sent
	 */
	public boolean tryTakeRetry(String service, long nowNanos) {
		if (!hasRetryLeft(service, nowNanos)) {
			return false;
		}
		window(service).retryNanos.add(nowNanos);
		return true;
	}

	/**
	 * Tells whether the budget allows one more retry, without taking it.
	 * @param service name of the service
	 * @param nowNanos the current time in ns
	 * @return whether {@link #tryTakeRetry} would take one
	 */
	public boolean hasRetryLeft(String service, long nowNanos) {
		Usage usage = usage(service, nowNanos);
		return usage.retries() + 1 <= usage.allowed();
	}

	/**
	 * Returns how much of the budget is used in the window that ends now.
	 * @param service name of the service
	 * @param nowNanos the current time in ns
	 * @return the use by this daemon
	 */
	public Usage usage(String service, long nowNanos) {
		Window window = window(service);
		window.dropBefore(nowNanos - this.windowNanos);
		double ofRequests = (nowNanos - this.startedAtNanos >= this.windowNanos)
				? this.ratio * window.requestNanos.size() : 0;
		return new Usage(window.requestNanos.size(), window.retryNanos.size(), ofRequests + partOfConstant(nowNanos));
	}

	private double partOfConstant(long nowNanos) {
		if (this.daemonCount == 0) {
			return 0;
		}
		long uptimeNanos = nowNanos - this.startedAtNanos;
		boolean counted = this.countedSinceNanos.isPresent()
				&& nowNanos - this.countedSinceNanos.getAsLong() >= this.windowNanos;
		if (counted || uptimeNanos >= SETTLING_NANOS) {
			return GRANTED_SHARE * this.constant / this.daemonCount;
		}
		double grown = Math.min(1, (double) uptimeNanos / this.windowNanos);
		return grown * STARTING_SHARE * this.constant / Math.max(LEAST_STARTING_DAEMONS, this.daemonCount);
	}

	private Window window(String service) {
		return this.windows.computeIfAbsent(service, (name) -> new Window());
	}

	/** Times of the requests and retries of a service in the current window, in ns. */
	private static final class Window {

		private final Deque<Long> requestNanos = new ArrayDeque<>();

		private final Deque<Long> retryNanos = new ArrayDeque<>();

		void dropBefore(long limitNanos) {
			dropBefore(this.requestNanos, limitNanos);
			dropBefore(this.retryNanos, limitNanos);
		}

		private static void dropBefore(Deque<Long> times, long limitNanos) {
			while (!times.isEmpty() && times.peekFirst() - limitNanos < 0) {
				times.removeFirst();
			}
		}

	}

	/**
	 * Use of the budget by this daemon in a window.
	 *
	 * @param requests number of callers' requests
	 * @param retries number of retries taken
	 * @param allowed number of retries allowed, not rounded
	 */
	public record Usage(int requests, int retries, double allowed) {
	}

}
