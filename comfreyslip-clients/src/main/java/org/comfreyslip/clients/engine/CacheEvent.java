package org.comfreyslip.clients.engine;

/**
 * Change of an engine's prefix cache.
 *
 * @param number number of the event, from 0; a gap means that events were lost
 * @param stored {@code true} for a stored block, {@code false} for an evicted one
 * @param blockHash hash of all tokens up to the block's end, see {@link BlockHash}
 * @param tokenCount number of tokens up to the block's end
 */
public record CacheEvent(long number, boolean stored, long blockHash, int tokenCount) {
}
