package org.comfreyslip.routing.pipeline;

import org.comfreyslip.routing.topology.LayerRange;

/**
 * Identity of one step. An answer counts only if its identity equals the one that the run
 * waits for.
 *
 * @param request the request's id, which also names the stream on the engines
 * @param attempt the attempt number, which grows with every recovery
 * @param position the first token position
 * @param count the number of token positions, at least 1
 * @param layers the layer range
 * @param kind what the engine does with the step
 */
public record StepId(String request, int attempt, int position, int count, LayerRange layers, StepKind kind) {
}
