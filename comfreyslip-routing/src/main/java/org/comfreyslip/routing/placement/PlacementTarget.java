package org.comfreyslip.routing.placement;

import java.util.Set;

/**
 * What a model needs: a version, adapters and capacity.
 *
 * @param model the model's name
 * @param layers the number of layers of the model
 * @param version the version of the accepted configuration
 * @param adapters the names of the adapters of the accepted configuration, possibly empty
 * @param tokensPerSecond the demand, smoothed by the caller over about a minute
 */
public record PlacementTarget(String model, int layers, String version, Set<String> adapters, double tokensPerSecond) {
}
