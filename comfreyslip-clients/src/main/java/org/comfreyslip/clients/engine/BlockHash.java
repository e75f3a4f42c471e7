package org.comfreyslip.clients.engine;

import com.dynatrace.hash4j.hashing.HashStream64;
import com.dynatrace.hash4j.hashing.Hasher64;
import com.dynatrace.hash4j.hashing.Hashing;

/**
 * Computes the hashes by which an engine's cache events identify token blocks. The hash
 * of a block covers all tokens up to its end, so equal hashes mean an equal prefix.
 */
public final class BlockHash {

	/** Number of tokens in a block. */
	public static final int BLOCK_TOKENS = 16;

	private static final Hasher64 HASHER = Hashing.komihash5_0();

	private BlockHash() {
	}

	/**
	 * Hashes the full blocks of a prompt.
	 * @param tokens token ids
	 * @return one hash per full block, in order; tokens after the last full block are
	 * ignored, so the array is empty for a prompt shorter than a block
	 */
	public static long[] of(int[] tokens) {
		long[] hashes = new long[tokens.length / BLOCK_TOKENS];
		long previous = 0;
		for (int block = 0; block < hashes.length; block++) {
			HashStream64 stream = HASHER.hashStream().putLong(previous);
			for (int index = block * BLOCK_TOKENS; index < (block + 1) * BLOCK_TOKENS; index++) {
				stream.putInt(tokens[index]);
			}
			previous = stream.getAsLong();
			hashes[block] = previous;
		}
		return hashes;
	}

}
