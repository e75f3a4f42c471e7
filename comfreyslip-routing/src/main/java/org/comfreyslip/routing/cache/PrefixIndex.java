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
 * Index of the prompt blocks that engines hold in their prefix caches. It is built from
 * events that may be late or missing, and is only a hint: a wrong entry costs time but
 * does not affect correctness.
 */
public final class PrefixIndex {

	/** Number of tokens of one block. */
	public static final int BLOCK_TOKENS = 16;

	/**
	 * Number of entries (pairs of block and engine) that fit in about 16 MB, a quarter of
	 * a daemon's memory for control data.
	 */
	public static final int DEFAULT_MAX_ENTRIES = 100_000;

	private final int maxEntries;

	private final Map<String, EngineCache> cachesByEngine = new HashMap<>();

	private final LinkedHashMap<Long, List<Holding>> holdingsByBlock = new LinkedHashMap<>(16, 0.75f, true);

	private int entryCount;

	/**
	 * Creates an index.
	 * @param maxEntries the largest number of entries; beyond it the least recently used
	 * blocks are removed
	 */
	public PrefixIndex(int maxEntries) {
		this.maxEntries = maxEntries;
	}

	/**
	 * Hashes the full blocks of a prompt. The hash of a block includes all blocks before
	 * it, so that equal hashes mean equal prefixes.
	 * @param tokens the prompt's token ids
	 * @return one hash per full block; empty for a prompt shorter than a block
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
	 * Applies an event. An event that is older than one already applied is ignored. A gap
	 * in the sequence marks all entries of the engine as doubtful, because one of the
	 * missed events may be an eviction.
	 * @param event the event of an engine
	 */
	public void onEvent(CacheEvent event) {
		if (event.type() == CacheEventType.CLEARED) {
			// Accepted with any sequence number, because a restarted engine counts
			// from the start again.
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
	 * Removes an engine, for example because it died. Its entries no longer match.
	 * @param engine the engine's name
	 */
	public void removeEngine(String engine) {
		this.cachesByEngine.remove(engine);
	}

	/**
	 * Finds the engines that hold a prefix of a prompt. The blocks that are found count
	 * as used for the removal of the least recently used ones.
	 * @param hashes the block hashes of the prompt, from {@link #blockHashes}
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
	 * Returns the number of entries (pairs of block and engine).
	 * @return the count, at most the limit of the constructor
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
	 * Position in the sequence of one engine's events. A new object is created when the
	 * cache is cleared, so that entries of the old one no longer match and are removed
	 * over time.
	 */
	private static final class EngineCache {

		private long nextSequence;

		private int gapCount;

		private EngineCache(long nextSequence) {
			this.nextSequence = nextSequence;
		}

	}

	/**
	 * An entry of the index: one engine that holds a block.
	 *
	 * @param engine the engine's cache
	 * @param gapCountWhenSeen the number of gaps in the engine's events when the block
	 * was stored
	 */
	private record Holding(EngineCache engine, int gapCountWhenSeen) {

		private boolean isDoubtful() {
			return this.gapCountWhenSeen != this.engine.gapCount;
		}

	}

}
