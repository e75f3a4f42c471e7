package org.comfreyslip.routing.pipeline;

/**
 * A token that the last stage generated.
 *
 * @param id the token's number in the vocabulary
 * @param text the token's text
 * @param end whether the model ended its answer with this token
 */
public record GeneratedToken(int id, String text, boolean end) {
}
