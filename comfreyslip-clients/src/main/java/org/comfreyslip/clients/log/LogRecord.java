package org.comfreyslip.clients.log;

/**
 * One record of a log stream.
 *
 * @param offset position in the stream, from 0
 * @param data content of the record
 */
public record LogRecord(long offset, byte[] data) {
}
