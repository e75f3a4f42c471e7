package org.comfreyslip.routing.pipeline;

import org.comfreyslip.routing.topology.LayerRange;

/**
 * Identity of one step. A step result is accepted only if its identity equals that of the
 * step that the run waits for.
 *
 * @param request the request's id, which also names the stream on the engines
 * @param attempt the attempt number, which increases with every replacement or rebuild of
 * a stage
 * @param position the first token position
 * @param count the number of token positions, at least 1
 * @param layers the layer range that the engine runs
 * @param kind what the engine does with the positions and their KV cache
 */
public record StepId(String request, int attempt, int position, int count, LayerRange layers, StepKind kind) {
}
