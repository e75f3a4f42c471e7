package org.comfreyslip.routing.pipeline;

import org.comfreyslip.routing.topology.LayerRange;

/**
 * An engine of a path with the layers that it runs.
 *
 * @param engine the engine's name
 * @param layers the layer range that it runs
 */
public record PipelineStage(String engine, LayerRange layers) {
}
