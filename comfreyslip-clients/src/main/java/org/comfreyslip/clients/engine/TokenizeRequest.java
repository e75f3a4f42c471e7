package org.comfreyslip.clients.engine;

/**
 * Text to be split into tokens.
 *
 * @param model name of the model whose tokenizer is used
 * @param text the text to split
 */
public record TokenizeRequest(String model, String text) {
}
