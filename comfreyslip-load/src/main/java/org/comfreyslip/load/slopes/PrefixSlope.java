package org.comfreyslip.load.slopes;

import java.util.SplittableRandom;

import org.comfreyslip.routing.cache.CacheEvent;
import org.comfreyslip.routing.cache.CacheEventType;
import org.comfreyslip.routing.cache.PrefixIndex;

/**
 * Match of a prompt of 496 tokens (31 blocks), in an index over 200 engines.
 */
final class PrefixSlope implements SlopeSubject {

	private static final int ENGINES = 200;

	private static final int BLOCKS = 31;

	private final PrefixIndex index;

	private final long[] prompt = new long[BLOCKS];

	private PrefixSlope(int entries) {
		this.index = new PrefixIndex(entries);
		SplittableRandom random = new SplittableRandom(1);
		long[] sequences = new long[ENGINES];
		for (int i = 0; i < entries; i++) {
			int engine = i % ENGINES;
			long block = random.nextLong();
			this.index.onEvent(new CacheEvent("engine-" + engine, sequences[engine], CacheEventType.STORED, block));
			sequences[engine]++;
			this.prompt[i % BLOCKS] = block;
		}
	}

	static PrefixSlope of(int entries) {
		return new PrefixSlope(entries);
	}

	@Override
	public Object work() {
		return this.index.findMatches(this.prompt);
	}

	@Override
	public long messageBytes() {
		return 0;
	}

}
