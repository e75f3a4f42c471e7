package org.comfreyslip.standins.engine;

import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.Map;

import org.comfreyslip.clients.engine.BlockHash;

/**
 * Prefix cache over token blocks; the least recently used block goes first. Not
 * thread-safe.
 */
final class PrefixCache {

	private static final float LOAD_FACTOR = 0.75f;

	private final int capacity;

	private final CacheEventLog events;

	private final Map<Long, Integer> blocks = new LinkedHashMap<>(64, LOAD_FACTOR, true);

	PrefixCache(int capacity, CacheEventLog events) {
		this.capacity = capacity;
		this.events = events;
	}

	// Returns the positions at the start of a prompt that the cache holds.
	int cachedPositions(long[] hashes) {
		int held = 0;
		while (held < hashes.length && this.blocks.get(hashes[held]) != null) {
			held++;
		}
		return held * BlockHash.BLOCK_TOKENS;
	}

	void store(long[] hashes, long nowNanos) {
		for (int block = 0; block < hashes.length; block++) {
			int tokens = (block + 1) * BlockHash.BLOCK_TOKENS;
			if (this.blocks.put(hashes[block], tokens) == null) {
				this.events.add(true, hashes[block], tokens, nowNanos);
			}
		}
		evict(nowNanos);
	}

	void clear() {
		this.blocks.clear();
	}

	private void evict(long nowNanos) {
		Iterator<Map.Entry<Long, Integer>> oldest = this.blocks.entrySet().iterator();
		for (int excess = this.blocks.size() - this.capacity; excess > 0; excess--) {
			Map.Entry<Long, Integer> entry = oldest.next();
			this.events.add(false, entry.getKey(), entry.getValue(), nowNanos);
			oldest.remove();
		}
	}

}
