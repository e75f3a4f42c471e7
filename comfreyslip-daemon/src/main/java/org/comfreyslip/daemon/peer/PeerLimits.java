package org.comfreyslip.daemon.peer;

/**
 * Time limits and message sizes of the calls between daemons.
 */
final class PeerLimits {

	/**
	 * Below the interval at which a member becomes suspect, so that a hanging peer leaves
	 * time for exchanges with others.
	 */
	static final long EXCHANGE_MILLIS = 2_000;

	/** A whole text of 4 MB has to pass a slow link. */
	static final long FETCH_MILLIS = 5_000;

	/** An operator waits for the slowest peer at most for this time. */
	static final long FIND_MILLIS = 1_500;

	/** At 390 daemons a difference with all reports takes about 30 KB. */
	static final int EXCHANGE_BYTES = 256 * 1024;

	/** A text of 4 MB that does not compress, with room for the difference's edits. */
	static final int CONFIG_BYTES = 8 * 1024 * 1024;

	/** A route record has at most 64 notes. */
	static final int FIND_BYTES = 256 * 1024;

	private PeerLimits() {
	}

}
