package org.comfreyslip.clients.engine;

/**
 * Tokens of a text.
 *
 * @param tokens token ids in order
 */
public record TokenizeReply(int[] tokens) {
}
