package org.comfreyslip.clients.engine;

/**
 * A token of a response.
 *
 * @param id token id
 * @param text the token's text
 * @param end whether the response ends with this token
 */
public record StepToken(int id, String text, boolean end) {
}
