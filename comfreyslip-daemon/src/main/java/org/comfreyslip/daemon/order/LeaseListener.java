package org.comfreyslip.daemon.order;

/**
 * Receives changes of a lease that this daemon contends for.
 */
@FunctionalInterface
public interface LeaseListener {

	/**
	 * Handles that the lease was acquired or is no longer valid.
	 * @param name the lease's name
	 * @param detail a text that states the fencing token, or that the lease ended
	 */
	void onLeaseChange(String name, String detail);

}
