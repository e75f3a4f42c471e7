package org.comfreyslip.routing.pipeline;

import org.comfreyslip.routing.topology.LayerRange;

/**
 * One stage of a pipeline.
 *
 * @param engine the engine's name
 * @param layers the layers it runs
 */
public record PipelineStage(String engine, LayerRange layers) {
}
