package org.comfreyslip.standins;

/**
 * One stand-in behind a {@link StandinServer}.
 */
public interface Standin extends AutoCloseable {

	/**
	 * Adds the routes. Called once, before the server starts.
	 * @param routes receives them
	 */
	void register(StandinRoutes routes);

	/**
	 * Stops threads of the stand-in.
	 */
	@Override
	default void close() {
	}

}
