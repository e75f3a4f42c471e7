package org.comfreyslip.operator;

/**
 * A record of a stream.
 *
 * @param offset its offset, from 0
 * @param data its content
 */
public record StreamRecord(long offset, byte[] data) {
}
