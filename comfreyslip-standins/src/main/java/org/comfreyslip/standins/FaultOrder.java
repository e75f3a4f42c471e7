package org.comfreyslip.standins;

/**
 * Body of {@code POST /faults}.
 *
 * @param mode the fault
 * @param forMillis how long it lasts, or 0 for until the next order
 * @param probability share of requests that it hits, or 0 for all
 * @param delayMillis delay of {@link FaultMode#SLOW}
 * @param method the HTTP method that it is limited to, or {@code null} for all
 * @param times number of requests that it hits at most, or 0 for no bound
 */
public record FaultOrder(FaultMode mode, long forMillis, double probability, long delayMillis, String method,
		int times) {

	/**
	 * Creates an order for all requests until the next order.
	 * @param mode the fault
	 * @return the order
	 */
	public static FaultOrder of(FaultMode mode) {
		return new FaultOrder(mode, 0, 0, 0, null, 0);
	}

	/**
	 * Creates an order for the next requests of one method.
	 * @param mode the fault
	 * @param method the HTTP method
	 * @param times number of requests
	 * @return the order
	 */
	public static FaultOrder next(FaultMode mode, String method, int times) {
		return new FaultOrder(mode, 0, 0, 0, method, times);
	}

	/**
	 * Creates an order that delays all requests.
	 * @param millis the delay
	 * @return the order
	 */
	public static FaultOrder slow(long millis) {
		return new FaultOrder(FaultMode.SLOW, 0, 0, millis, null, 0);
	}

}
