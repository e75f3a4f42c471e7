package org.comfreyslip.load.run;

/**
 * Nanoseconds after the start of a run.
 */
public final class RunClock {

	private final long start = System.nanoTime();

	/**
	 * Returns the time.
	 * @return nanoseconds after the start
	 */
	public long nanos() {
		return System.nanoTime() - this.start;
	}

}
