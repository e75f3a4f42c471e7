package org.comfreyslip.clients.engine;

/**
 * Change of an engine's prefix cache.
 *
 * @param number number of the event, from 0; gaps are lost events
 * @param stored {@code true} for a stored block, {@code false} for an evicted one
 * @param blockHash hash over all tokens up to the block's end
 * @param tokenCount tokens up to the block's end
 */
public record CacheEvent(long number, boolean stored, long blockHash, int tokenCount) {
}
