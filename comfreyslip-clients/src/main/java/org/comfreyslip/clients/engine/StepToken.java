package org.comfreyslip.clients.engine;

/**
 * A token that the last stage generated.
 *
 * @param id numeric id of the token
 * @param text the token's text
 * @param end whether the response ends with this token
 */
public record StepToken(int id, String text, boolean end) {
}
