package org.comfreyslip.clients.engine;

import org.comfreyslip.routing.topology.Priority;

/**
 * Request to run a range of positions through a range of layers. The identity of a step
 * is stream, attempt, position, count, firstLayer and endLayer.
 *
 * @param stream name of the response
 * @param attempt number of the attempt, incremented after each failure
 * @param model name of the model
 * @param version version of the model
 * @param position the first position, from 0
 * @param count number of positions, at least 1
 * @param firstLayer the first layer
 * @param endLayer the layer after the last one
 * @param tokens token per position, only for a range that starts at layer 0
 * @param input activations per position, only for a range that starts later
 * @param kind whether the step runs the prompt, one later position or a recomputation
 * @param priority priority of the client account
 * @param remainingMillis time left for the whole response, in milliseconds
 * @param promptCount number of prompt positions, so that an engine that takes over a
 * stream knows how many tokens were emitted
 */
public record StepRequest(String stream, int attempt, String model, String version, int position, int count,
		int firstLayer, int endLayer, int[] tokens, byte[] input, StepKind kind, Priority priority,
		long remainingMillis, int promptCount) {
}
