package org.comfreyslip.routing.cache;

/**
 * An event of an engine's prefix cache.
 *
 * @param engine the engine's name
 * @param sequence the engine's sequence number; consecutive events differ by one
 * @param type what happened
 * @param block the hash of the block as of {@link PrefixIndex#blockHashes}; without
 * meaning for {@link CacheEventType#CLEARED}
 */
public record CacheEvent(String engine, long sequence, CacheEventType type, long block) {
}
