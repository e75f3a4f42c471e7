package org.comfreyslip.routing.pipeline;

/**
 * A token that the last stage generated.
 *
 * @param id the token's id in the model's vocabulary
 * @param text the token's text
 * @param end whether this is the last token of the response because the model ended it
 */
public record GeneratedToken(int id, String text, boolean end) {
}
