package org.comfreyslip.routing.bound;

import java.util.List;

/**
 * Upper bound of a model's throughput, with the engines that limit it.
 *
 * @param tokensPerSecond the bound, 0 if the layers are not fully covered
 * @param bottleneck the names of the engines of a minimum cut: the bound rises only if
 * one of them becomes faster or an engine is added in parallel to them; empty if some
 * layer has no engine
 * @param gapLayer the first layer that no path from layer 0 runs, or -1 if a path runs
 * all layers
 */
public record ModelBound(double tokensPerSecond, List<String> bottleneck, int gapLayer) {
}
