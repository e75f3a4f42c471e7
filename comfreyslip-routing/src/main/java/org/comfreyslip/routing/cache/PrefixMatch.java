package org.comfreyslip.routing.cache;

/**
 * How much of a prompt an engine holds.
 *
 * @param tokens the tokens of the matching blocks
 * @param doubtful whether an event may have been missed since one of the blocks was seen
 */
public record PrefixMatch(int tokens, boolean doubtful) {

	/**
	 * Returns the tokens that the planner may count on. A doubtful match counts half.
	 * @return the tokens
	 */
	public int creditTokens() {
		return (this.doubtful) ? this.tokens / 2 : this.tokens;
	}

}
