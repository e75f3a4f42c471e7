package org.comfreyslip.routing.cache;

import java.util.stream.IntStream;

import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Guards against full credit for entries that a missed event may have evicted, against
 * growth without bound, and against matches that skip a block.
 */
class PrefixIndexTests {

	private static final int[] PROMPT = IntStream.range(0, 64).toArray();

	private final long[] hashes = PrefixIndex.blockHashes(PROMPT);

	private final PrefixIndex index = new PrefixIndex(100);

	@Test
	void aMatchEndsAtTheFirstMissingBlock() {
		stored("e", 1, 0);
		stored("e", 2, 1);
		stored("e", 3, 3);
		assertThat(this.index.findMatches(this.hashes).get("e")).isEqualTo(new PrefixMatch(32, false));
	}

	@Test
	void aHashDependsOnAllBlocksBefore() {
		int[] other = PROMPT.clone();
		other[0] = 99;
		assertThat(PrefixIndex.blockHashes(other)[3]).isNotEqualTo(this.hashes[3]);
	}

	@Test
	void aGapMakesOlderEntriesDoubtfulUntilTheyAreSeenAgain() {
		stored("e", 1, 0);
		stored("e", 5, 1);
		PrefixMatch match = this.index.findMatches(this.hashes).get("e");
		assertThat(match).isEqualTo(new PrefixMatch(32, true));
		assertThat(match.creditTokens()).isEqualTo(16);
		stored("e", 6, 0);
		assertThat(this.index.findMatches(this.hashes).get("e")).isEqualTo(new PrefixMatch(32, false));
	}

	@Test
	void aLateEventDoesNotBringAnEvictedBlockBack() {
		stored("e", 1, 0);
		this.index.onEvent(new CacheEvent("e", 3, CacheEventType.EVICTED, this.hashes[0]));
		stored("e", 2, 0);
		assertThat(this.index.findMatches(this.hashes)).isEmpty();
		assertThat(this.index.size()).isZero();
	}

	@Test
	void aRestartedEngineLosesItsEntriesAndCountsFromTheStart() {
		stored("e", 100, 0);
		this.index.onEvent(new CacheEvent("e", 0, CacheEventType.CLEARED, 0));
		assertThat(this.index.findMatches(this.hashes)).isEmpty();
		stored("e", 1, 0);
		assertThat(this.index.findMatches(this.hashes).get("e")).isEqualTo(new PrefixMatch(16, false));
	}

	@Test
	void theIndexStaysWithinItsLimitAndKeepsUsedBlocks() {
		stored("e", 0, 0);
		for (int i = 1; i <= 10_000; i++) {
			this.index.findMatches(this.hashes);
			this.index.onEvent(new CacheEvent("f" + i % 7, i / 7, CacheEventType.STORED, i));
		}
		assertThat(this.index.size()).isEqualTo(100);
		assertThat(this.index.findMatches(this.hashes)).containsKey("e");
	}

	private void stored(String engine, long sequence, int block) {
		this.index.onEvent(new CacheEvent(engine, sequence, CacheEventType.STORED, this.hashes[block]));
	}

}
