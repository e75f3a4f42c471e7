package org.comfreyslip.daemon.order;

/**
 * Receives the outcomes of orders to engines.
 */
@FunctionalInterface
public interface OrderListener {

	/**
	 * Handles the end of an order.
	 * @param engine the engine's name
	 * @param detail a text that states the order and its outcome
	 */
	void onOrderOutcome(String engine, String detail);

}
