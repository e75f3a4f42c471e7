package org.comfreyslip.coordination.lease;

/**
 * Whether an endpoint checks the fencing token of an order.
 */
public enum EndpointFencing {

	/** Refuses an order whose token is lower than the highest one seen. */
	CHECKS_TOKEN {

		@Override
		boolean needsStateReads() {
			return false;
		}

		@Override
		long earliestOrderNanos(long heldSinceNanos, long orderTimeLimitNanos) {
			return heldSinceNanos;
		}

	},

	/**
	 * Executes every order, so that an order of an earlier lease holder may still take
	 * effect until its time limit.
	 */
	IGNORES_TOKEN {

		@Override
		boolean needsStateReads() {
			return true;
		}

		@Override
		long earliestOrderNanos(long heldSinceNanos, long orderTimeLimitNanos) {
			return heldSinceNanos + orderTimeLimitNanos;
		}

	};

	abstract boolean needsStateReads();

	abstract long earliestOrderNanos(long heldSinceNanos, long orderTimeLimitNanos);

}
