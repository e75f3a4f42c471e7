package org.comfreyslip.entry.reach;

import java.util.List;

/**
 * What a daemon tells the others of the endpoints that it reaches.
 */
public interface OwnReach {

	/**
	 * Returns the services none of whose endpoints this daemon reaches.
	 * @return their names; may be empty
	 */
	List<String> lostServices();

	/**
	 * Tells whether this daemon does not reach the engines of a model, though another one
	 * may: it must not lead the placement of layers.
	 * @return whether it is cut off
	 */
	boolean isCutOffFromEngines();

	/**
	 * Tells whether this daemon takes requests of others.
	 * @return whether it does
	 */
	boolean takesRelays();

	/**
	 * Tells whether a fault of an endpoint that this daemon observed is due to the
	 * endpoint, and not to the network of this host.
	 * @param endpointId identity of the endpoint
	 * @return whether other daemons should avoid the endpoint
	 */
	boolean isFaultCertain(String endpointId);

}
