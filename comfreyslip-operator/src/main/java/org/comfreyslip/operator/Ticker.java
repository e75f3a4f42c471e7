package org.comfreyslip.operator;

/**
 * Source of time for polling.
 */
public interface Ticker {

	/** The system's monotonic clock. */
	Ticker SYSTEM = new SystemTicker();

	/**
	 * Returns the time of a monotonic clock.
	 * @return nanoseconds
	 */
	long nowNanos();

	/**
	 * Blocks for a time.
	 * @param millis the time, in milliseconds
	 */
	void sleepMillis(long millis);

}
