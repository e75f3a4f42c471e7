package org.comfreyslip.routing.cache;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

import com.dynatrace.hash4j.hashing.HashStream64;
import com.dynatrace.hash4j.hashing.Hashing;
import org.comfreyslip.routing.invariant.Invariants;

/**
 * Which engines hold which prompt blocks in their prefix caches, from events that are
 * late and have gaps. The index is a hint: a wrong entry costs time, never correctness.
 */
public final class PrefixIndex {

	/** Tokens of one block. */
	public static final int BLOCK_TOKENS = 16;

	/**
	 * Entries (block and engine) that fit in about 16 MB, a quarter of a daemon's memory
	 * for control.
	 */
	public static final int DEFAULT_MAX_ENTRIES = 100_000;

	private final int maxEntries;

	private final Map<String, EngineCache> cachesByEngine = new HashMap<>();

	private final LinkedHashMap<Long, List<Holding>> holdingsByBlock = new LinkedHashMap<>(16, 0.75f, true);

	private int entryCount;

	/**
	 * Creates an index.
	 * @param maxEntries the most entries; the blocks used least recently are dropped
	 */
	public PrefixIndex(int maxEntries) {
		this.maxEntries = maxEntries;
	}

	/**
	 * Hashes the full blocks of a prompt. The hash of a block includes all blocks before
	 * it, so that equal hashes mean equal prefixes.
	 * @param tokens the prompt's tokens
	 * @return one hash per full block
	 */
	public static long[] blockHashes(int[] tokens) {
		long[] hashes = new long[tokens.length / BLOCK_TOKENS];
		long previous = 0;
		HashStream64 stream = Hashing.komihash5_0().hashStream();
		for (int block = 0; block < hashes.length; block++) {
			stream.reset();
			stream.putLong(previous);
			for (int i = 0; i < BLOCK_TOKENS; i++) {
				stream.putInt(tokens[block * BLOCK_TOKENS + i]);
			}
			previous = stream.getAsLong();
			hashes[block] = previous;
		}
		return hashes;
	}

	/**
	 * Takes an event. An event with a number that was passed already is dropped. A gap
	 * marks all entries of the engine as doubtful, because an eviction may be among the
	 * missing events.
	 * @param event the event
	 */
	public void onEvent(CacheEvent event) {
		if (event.type() == CacheEventType.CLEARED) {
			// Accepted with any number: a restarted engine counts from the start again.
			this.cachesByEngine.put(event.engine(), new EngineCache(event.sequence() + 1));
			return;
		}
		EngineCache engine = this.cachesByEngine.computeIfAbsent(event.engine(),
				(name) -> new EngineCache(event.sequence()));
		if (event.sequence() < engine.nextSequence) {
			return;
		}
		if (event.sequence() > engine.nextSequence) {
			engine.gapCount++;
		}
		engine.nextSequence = event.sequence() + 1;
		remove(event.block(), engine);
		if (event.type() == CacheEventType.STORED) {
			add(event.block(), engine);
		}
	}

	/**
	 * Drops all entries of an engine, for example because it died.
	 * @param engine the engine's name
	 */
	public void removeEngine(String engine) {
		this.cachesByEngine.remove(engine);
	}

	/**
	 * Finds the engines that hold a prefix of a prompt. The blocks found count as used.
	 * @param hashes the prompt's block hashes
	 * @return the matches by engine name; engines without a match are absent
	 */
	public Map<String, PrefixMatch> findMatches(long[] hashes) {
		Map<EngineCache, PrefixMatch> found = new HashMap<>();
		for (int i = 0; i < hashes.length; i++) {
			int longer = 0;
			for (Holding holding : this.holdingsByBlock.getOrDefault(hashes[i], List.of())) {
				PrefixMatch before = found.getOrDefault(holding.engine(), new PrefixMatch(0, false));
				if (before.tokens() == i * BLOCK_TOKENS) {
					boolean doubtful = before.doubtful() || holding.isDoubtful();
					found.put(holding.engine(), new PrefixMatch((i + 1) * BLOCK_TOKENS, doubtful));
					longer++;
				}
			}
			if (longer == 0) {
				break;
			}
		}
		Map<String, PrefixMatch> matches = new HashMap<>();
		this.cachesByEngine.forEach((name, engine) -> {
			if (found.containsKey(engine)) {
				matches.put(name, found.get(engine));
			}
		});
		return matches;
	}

	/**
	 * Returns the number of entries.
	 * @return the count, at most the limit
	 */
	public int size() {
		return this.entryCount;
	}

	private void add(long block, EngineCache engine) {
		this.holdingsByBlock.computeIfAbsent(block, (key) -> new ArrayList<>(1))
			.add(new Holding(engine, engine.gapCount));
		this.entryCount++;
		Iterator<List<Holding>> eldest = this.holdingsByBlock.values().iterator();
		while (this.entryCount > this.maxEntries && eldest.hasNext()) {
			this.entryCount -= eldest.next().size();
			eldest.remove();
		}
		if (this.entryCount > this.maxEntries) {
			throw Invariants.violated(this.entryCount + " prefix entries exceed the limit " + this.maxEntries);
		}
	}

	private void remove(long block, EngineCache engine) {
		List<Holding> holdings = this.holdingsByBlock.get(block);
		if (holdings == null) {
			return;
		}
		int before = holdings.size();
		holdings.removeIf((holding) -> holding.engine() == engine);
		this.entryCount -= before - holdings.size();
		if (holdings.isEmpty()) {
			this.holdingsByBlock.remove(block);
		}
	}

	/**
	 * Position in one engine's events. A new object is made when the cache is cleared, so
	 * that entries of the old one no longer match and age out.
	 */
	private static final class EngineCache {

		private long nextSequence;

		private int gapCount;

		private EngineCache(long nextSequence) {
			this.nextSequence = nextSequence;
		}

	}

	/**
	 * One engine that holds a block.
	 *
	 * @param engine the engine
	 * @param generation the engine's gaps when the block was seen
	 */
	private record Holding(EngineCache engine, int gapCountWhenSeen) {

		private boolean isDoubtful() {
			return this.gapCountWhenSeen != this.engine.gapCount;
		}

	}

}
