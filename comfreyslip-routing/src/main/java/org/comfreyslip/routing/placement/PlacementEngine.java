package org.comfreyslip.routing.placement;

import java.util.Set;

import org.comfreyslip.routing.topology.LayerRange;

/**
 * An engine and what it holds, as it reports itself.
 *
 * @param name the engine's name
 * @param model the name of the model it holds
 * @param version the version of the model that it holds
 * @param layers the layer range it holds
 * @param adapters the names of the adapters it holds, possibly empty
 * @param serving whether it runs steps; {@code false} while it loads
 * @param layerTokensPerSecond its rate for a single layer, in tokens per second; the rate
 * for a range is this divided by the number of layers
 * @param maxLayers the number of layers that fit in its memory
 */
public record PlacementEngine(String name, String model, String version, LayerRange layers, Set<String> adapters,
		boolean serving, double layerTokensPerSecond, int maxLayers) {

	/**
	 * Returns the rate at which the engine would run a layer range.
	 * @param range the layer range
	 * @return the rate in tokens per second
	 */
	public double rate(LayerRange range) {
		return this.layerTokensPerSecond / range.count();
	}

}
