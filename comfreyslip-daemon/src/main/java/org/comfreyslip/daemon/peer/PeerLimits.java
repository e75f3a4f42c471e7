package org.comfreyslip.daemon.peer;

/**
 * Timeouts and maximum message sizes of the calls between daemons.
 */
final class PeerLimits {

	/**
	 * Below the time after which a silent member becomes suspect, so that a hanging peer
	 * leaves time for exchanges with others.
	 */
	static final long EXCHANGE_MILLIS = 2_000;

	/** Time to transfer a whole configuration text of 4 MB over a slow link. */
	static final long FETCH_MILLIS = 5_000;

	/** Longest time that an operator waits for the slowest peer. */
	static final long FIND_MILLIS = 1_500;

	/** With 390 daemons, a delta with all reports takes about 30 KB. */
	static final int EXCHANGE_BYTES = 256 * 1024;

	/** A text of 4 MB that does not compress, with room for the edits of a difference. */
	static final int CONFIG_BYTES = 8 * 1024 * 1024;

	/** A route record has at most 64 notes. */
	static final int FIND_BYTES = 256 * 1024;

	private PeerLimits() {
	}

}
