package org.comfreyslip.routing.cache;

/**
 * A change of an engine's prefix cache. Unlike the message type of the same name in the
 * clients module, it names the engine and covers a single block.
 *
 * @param engine the engine's name
 * @param sequence the engine's sequence number; consecutive events differ by one
 * @param type what changed
 * @param block the hash of the block as {@link PrefixIndex#blockHashes} calculates it;
 * ignored for {@link CacheEventType#CLEARED}
 */
public record CacheEvent(String engine, long sequence, CacheEventType type, long block) {
}
