package org.comfreyslip.entry.layers;

/**
 * Whether this daemon may order engines to hold layers. At most one daemon may do so at a
 * time.
 */
public interface OrderPermission {

	/**
	 * Tells whether this daemon plans the placement. It may have to renew its permission
	 * before it orders what it has planned.
	 * @param nowNanos the current elapsed time in ns
	 * @return whether no other daemon is known to plan
	 */
	boolean holdsDuty(long nowNanos);

	/**
	 * Tells whether orders may be given now.
	 * @param nowNanos the current elapsed time in ns
	 * @return whether they may
	 */
	boolean mayOrder(long nowNanos);

	/**
	 * Returns the fencing token of the orders of this daemon. Engines reject orders with
	 * a token lower than one that they have seen.
	 * @return the token
	 */
	long fencingToken();

	/**
	 * Records that an engine rejected an order because it has seen a higher token. No
	 * order is given again under this token or a lower one.
	 * @param token the token of the rejected order
	 */
	void recordRejectedToken(long token);

	/**
	 * Returns why this daemon holds the duty, or no longer does.
	 * @return the reason, for the log
	 */
	String reason();

}
