package org.comfreyslip.clients.log;

/**
 * Body of an append.
 *
 * @param data the bytes to append
 */
public record AppendRequest(byte[] data) {
}
