package org.comfreyslip.clients.engine;

/**
 * Response to a step.
 *
 * @param stream name of the response
 * @param attempt attempt of the request
 * @param position the first position
 * @param count number of positions
 * @param firstLayer the first layer
 * @param endLayer the layer after the last one
 * @param output activations per position, or {@code null} from the last stage
 * @param token the next token, only from the last stage and not for a rebuild
 * @param load load as the engine last measured it
 * @param cachedPositions number of positions at the start of the step that were in the
 * prefix cache
 */
public record StepReply(String stream, int attempt, int position, int count, int firstLayer, int endLayer,
		byte[] output, StepToken token, EngineLoad load, int cachedPositions) {
}
