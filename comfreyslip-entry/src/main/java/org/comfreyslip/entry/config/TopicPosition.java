package org.comfreyslip.entry.config;

/**
 * How far a daemon has read a topic of the store, and how old that knowledge is.
 *
 * @param offset offset at which its next read begins
 * @param ageNanos time since that offset was known to be the end of the topic, in ns;
 * negative if it never was
 * @param era era of the store to which the offset belongs; negative if it is not known
 */
public record TopicPosition(long offset, long ageNanos, long era) {

	/** Position of a daemon that has read nothing, or does not state its position. */
	public static final TopicPosition UNKNOWN = new TopicPosition(0, -1, -1);

	/**
	 * Tells whether this position is beyond another one.
	 * @param other the other position
	 * @return whether records follow the other position, or the store has gone back to an
	 * older copy since
	 */
	boolean isBeyond(TopicPosition other) {
		return this.era > other.era || (this.era == other.era && this.offset > other.offset);
	}

}
