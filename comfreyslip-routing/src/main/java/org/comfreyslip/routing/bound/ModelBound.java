package org.comfreyslip.routing.bound;

import java.util.List;

/**
 * Upper bound of a model's throughput.
 *
 * @param tokensPerSecond the bound
 * @param bottleneck the names of the engines of a minimum cut: the bound rises only if
 * one of them gets faster or another engine is added beside them; empty if some layer has
 * no engine
 * @param gapLayer the first layer without a path from layer 0, or -1
 */
public record ModelBound(double tokensPerSecond, List<String> bottleneck, int gapLayer) {
}
