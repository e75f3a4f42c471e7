package org.comfreyslip.entry.layers;

import org.comfreyslip.entry.model.Endpoint;

/**
 * Costs that a path search adds to the expected time per token, depending on the request
 * that the path is for.
 */
@FunctionalInterface
public interface StageCosts {

	/** No added costs: the search considers the expected time per token only. */
	StageCosts NONE = (endpoint, layers) -> 0;

	/**
	 * Returns what a stage adds to the cost of a path.
	 * @param endpoint the engine that runs the stage
	 * @param layers number of layers of the stage
	 * @return the added cost, in ms per token; not negative
	 */
	double costMs(Endpoint endpoint, int layers);

}
