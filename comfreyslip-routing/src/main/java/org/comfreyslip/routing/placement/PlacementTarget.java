package org.comfreyslip.routing.placement;

import java.util.Set;

/**
 * What a model needs.
 *
 * @param model the model's name
 * @param layers the number of layers
 * @param version the version of the accepted configuration
 * @param adapters the adapters of the accepted configuration
 * @param tokensPerSecond the demand, smoothed by the caller over about a minute
 */
public record PlacementTarget(String model, int layers, String version, Set<String> adapters, double tokensPerSecond) {
}
