package org.comfreyslip.routing.pipeline;

import java.util.Optional;

/**
 * The result that an engine returns for a step.
 *
 * @param output the activations for the next stage, one block per position; empty from
 * the last stage
 * @param token the generated token; empty from all stages but the last
 */
public record StepResult(byte[] output, Optional<GeneratedToken> token) {
}
