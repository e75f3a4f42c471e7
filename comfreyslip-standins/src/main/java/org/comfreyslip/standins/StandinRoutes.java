package org.comfreyslip.standins;

/**
 * Receives the routes of a stand-in.
 */
@FunctionalInterface
public interface StandinRoutes {

	/**
	 * Adds a route.
	 * @param method the HTTP method
	 * @param pattern path with parts in braces
	 * @param handler handles the requests
	 */
	void add(String method, String pattern, StandinHandler handler);

}
