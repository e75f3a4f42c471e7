package org.comfreyslip.clients.log;

/**
 * Response to an append.
 *
 * @param offset the offset assigned to the record
 */
public record AppendReply(long offset) {
}
