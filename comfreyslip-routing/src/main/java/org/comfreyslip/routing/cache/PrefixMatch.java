package org.comfreyslip.routing.cache;

/**
 * How much of a prompt an engine holds in its prefix cache.
 *
 * @param tokens the number of tokens of the matching blocks
 * @param doubtful whether an event was missed since one of the blocks was stored, so that
 * it may have been evicted
 */
public record PrefixMatch(int tokens, boolean doubtful) {

	/**
	 * Returns the number of cached tokens that a plan may assume. A doubtful match counts
	 * half.
	 * @return the number of tokens, from 0
	 */
	public int creditTokens() {
		return (this.doubtful) ? this.tokens / 2 : this.tokens;
	}

}
