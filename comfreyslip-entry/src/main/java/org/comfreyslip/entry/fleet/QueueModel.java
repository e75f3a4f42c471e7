package org.comfreyslip.entry.fleet;

/**
 * Queue of an endpoint that processes several requests at a time. The wait is
 * Sakasegawa's approximation for random arrivals: use^k / (slots * (1 - use)) service
 * times with k = sqrt(2 * (slots + 1)) - 1.
 */
final class QueueModel {

	/** Use of the slots from which costs no longer follow the model. */
	private static final double FULL_USE = 0.97;

	/** Cost for each use of the slots beyond {@link #FULL_USE}, in ms. */
	private static final double OVERLOAD_COST_MS = 1e6;

	/**
	 * Requests for each slot up to which the model gives the wait; a wrong report of more
	 * has a bounded effect.
	 */
	private static final double MAX_ROUNDS = 2;

	/** Halvings of the interval in which the use is sought; gives three digits. */
	private static final int HALVINGS = 10;

	private QueueModel() {
	}

	private static double exponent(int slots) {
		return Math.sqrt(2 * (slots + 1)) - 1;
	}

	// Returns what one more request per time adds to the time of all, in ms.
	static double addedMs(double ratePerMs, int slots, double serviceMs) {
		double use = ratePerMs * serviceMs / slots;
		if (use >= FULL_USE) {
			return OVERLOAD_COST_MS * use;
		}
		double exponent = exponent(slots);
		double free = 1 - use;
		return serviceMs * (1 + StrictMath.pow(use, exponent) * ((exponent + 1) * free + use) / (slots * free * free));
	}

	// Returns the rate in requests per ms at which one more request adds a time in ms to
	// the time of all; at most what the slots can serve.
	static double ratePerMs(double addedMs, int slots, double serviceMs) {
		double low = 0;
		double high = 1;
		for (int halving = 0; halving < HALVINGS; halving++) {
			double use = (low + high) / 2;
			if (addedMs(use * slots / serviceMs, slots, serviceMs) < addedMs) {
				low = use;
			}
			else {
				high = use;
			}
		}
		return high * slots / serviceMs;
	}

	// Returns the part of the response time that is not spent waiting, where a number of
	// requests is present.
	static double serviceShare(double present, int slots) {
		double rounds = present / slots;
		return (rounds > 0) ? Math.max(1 / MAX_ROUNDS, Math.min(1, useAt(present, slots) / rounds)) : 1;
	}

	// Returns the use of the slots at which a number of requests is present on average.
	private static double useAt(double present, int slots) {
		double exponent = exponent(slots);
		double low = 0;
		double high = 1;
		for (int halving = 0; halving < HALVINGS; halving++) {
			double use = (low + high) / 2;
			double presentAtUse = use * slots * (1 + StrictMath.pow(use, exponent) / (slots * (1 - use)));
			if (presentAtUse < present) {
				low = use;
			}
			else {
				high = use;
			}
		}
		return (low + high) / 2;
	}

}
