package org.comfreyslip.entry.duty;

import java.util.Map;

/**
 * What the placement duty needs of the messages between daemons.
 */
public interface DutyPeers {

	/**
	 * Returns the other daemons that are alive.
	 * @param nowNanos the current elapsed time in ns
	 * @return by the name of each daemon whether it reaches the store and the engines
	 */
	Map<String, Boolean> live(long nowNanos);

	/**
	 * Returns the number of other daemons in this daemon's data centre.
	 * @return the number
	 */
	int localCount();

	/**
	 * Tells whether this daemon has heard from others, if there are any.
	 * @param nowNanos the current elapsed time in ns
	 * @return whether {@link #live} says which daemons there are
	 */
	boolean isComplete(long nowNanos);

	/**
	 * Sends a notice.
	 * @param notice the encoded notice
	 * @param receiver name of the receiving daemon
	 */
	void send(byte[] notice, String receiver);

}
