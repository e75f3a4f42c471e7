package org.comfreyslip.coordination.lease;

/**
 * How an endpoint treats the fencing number of an order.
 */
public enum OrderEndpoint {

	/** Refuses an order with a lower number than the newest seen. */
	CHECKS_FENCE {

		@Override
		boolean needsStateReads() {
			return false;
		}

		@Override
		long earliestOrder(long heldSince, long orderTimeLimit) {
			return heldSince;
		}

	},

	/**
	 * Executes every order, so that an order of an earlier holder may still be at work.
	 */
	IGNORES_FENCE {

		@Override
		boolean needsStateReads() {
			return true;
		}

		@Override
		long earliestOrder(long heldSince, long orderTimeLimit) {
			return heldSince + orderTimeLimit;
		}

	};

	abstract boolean needsStateReads();

	abstract long earliestOrder(long heldSince, long orderTimeLimit);

}
