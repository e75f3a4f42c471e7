package org.comfreyslip.routing.bound;

import org.comfreyslip.routing.topology.LayerRange;

/**
 * The rate at which an engine runs its layer range.
 *
 * @param engine the engine's name
 * @param layers its layer range
 * @param tokensPerSecond the rate at which it runs the range, not negative
 */
public record EngineRate(String engine, LayerRange layers, double tokensPerSecond) {
}
