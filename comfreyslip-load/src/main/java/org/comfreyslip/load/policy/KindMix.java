package org.comfreyslip.load.policy;

/**
 * Accelerator kinds of the compared engines.
 */
public enum KindMix {

	/** All engines are equal. */
	UNIFORM(20),

	/**
	 * Four kinds in equal numbers; the slowest takes six times as long as the fastest.
	 */
	MIXED(10, 15, 30, 60);

	private final int[] serviceMillis;

	KindMix(int... serviceMillis) {
		this.serviceMillis = serviceMillis;
	}

	/**
	 * Returns the mean time of one call at an engine.
	 * @param engine the engine's number, from 0
	 * @return the time in ns
	 */
	public long serviceNanos(int engine) {
		return this.serviceMillis[engine % this.serviceMillis.length] * 1_000_000L;
	}

}
