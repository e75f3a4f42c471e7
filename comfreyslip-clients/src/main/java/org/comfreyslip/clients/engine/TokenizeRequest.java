package org.comfreyslip.clients.engine;

/**
 * Text to be split into tokens.
 *
 * @param model name of the model
 * @param text the text
 */
public record TokenizeRequest(String model, String text) {
}
