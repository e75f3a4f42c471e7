package org.comfreyslip.routing.placement;

import java.util.Set;

import org.comfreyslip.routing.topology.LayerRange;

/**
 * What an engine holds, as it reports itself.
 *
 * @param name the engine's name
 * @param model the model it holds
 * @param version the model's version it holds
 * @param layers the layer range it holds
 * @param adapters the adapters it holds
 * @param serving whether it takes steps; {@code false} while it loads
 * @param layerTokensPerSecond its rate, in tokens per second times layers
 * @param maxLayers the most layers that fit in its memory
 */
public record PlacementEngine(String name, String model, String version, LayerRange layers, Set<String> adapters,
		boolean serving, double layerTokensPerSecond, int maxLayers) {

	/**
	 * Returns its rate for a layer range.
	 * @param range the range
	 * @return tokens per second
	 */
	public double rate(LayerRange range) {
		return this.layerTokensPerSecond / range.count();
	}

}
