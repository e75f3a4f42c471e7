package org.comfreyslip.clients.log;

/**
 * One record of a log stream.
 *
 * @param offset position in the stream, from 0
 * @param data the bytes appended
 */
public record LogRecord(long offset, byte[] data) {
}
