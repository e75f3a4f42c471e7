package org.comfreyslip.daemon.order;

/**
 * Hears of changes of a lease that this daemon contends for.
 */
@FunctionalInterface
public interface LeaseListener {

	/**
	 * The lease was acquired or is no longer valid.
	 * @param name the lease's name
	 * @param detail the fencing number, or that the lease ended
	 */
	void onChange(String name, String detail);

}
