package org.comfreyslip.clients.engine;

/**
 * Exported KV cache of a stream.
 *
 * @param positions number of positions that the cache covers
 * @param data the cache in the engine's own format
 */
public record KvCache(int positions, byte[] data) {
}
