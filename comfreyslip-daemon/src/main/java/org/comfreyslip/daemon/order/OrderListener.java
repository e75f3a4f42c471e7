package org.comfreyslip.daemon.order;

/**
 * Hears of ended orders.
 */
@FunctionalInterface
public interface OrderListener {

	/**
	 * An order ended.
	 * @param engine the engine's name
	 * @param detail the order and its outcome
	 */
	void onOutcome(String engine, String detail);

}
