package org.comfreyslip.routing.pipeline;

import java.util.Optional;

/**
 * An engine's answer to a step.
 *
 * @param output the activations for the next stage, one block a position; empty for the
 * last stage
 * @param token the generated token, from the last stage only
 */
public record StepResult(byte[] output, Optional<GeneratedToken> token) {
}
