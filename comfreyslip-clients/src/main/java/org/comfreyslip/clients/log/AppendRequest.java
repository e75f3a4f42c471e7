package org.comfreyslip.clients.log;

/**
 * Body of an append request.
 *
 * @param data content of the record to append
 */
public record AppendRequest(byte[] data) {
}
