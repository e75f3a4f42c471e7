package org.comfreyslip.clients.log;

/**
 * Answer to an append.
 *
 * @param offset the offset that the record got
 */
public record AppendReply(long offset) {
}
