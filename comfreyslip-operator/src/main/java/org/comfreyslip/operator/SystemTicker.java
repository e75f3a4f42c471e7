package org.comfreyslip.operator;

/**
 * The system's monotonic clock.
 */
final class SystemTicker implements Ticker {

	@Override
	public long nowNanos() {
		return System.nanoTime();
	}

	@Override
	public void sleepMillis(long millis) {
		try {
			Thread.sleep(millis);
		}
		catch (InterruptedException ex) {
			Thread.currentThread().interrupt();
			throw new IllegalStateException("interrupted while waiting", ex);
		}
	}

}
