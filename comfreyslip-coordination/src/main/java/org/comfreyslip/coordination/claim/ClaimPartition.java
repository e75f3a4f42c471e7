package org.comfreyslip.coordination.claim;

import com.dynatrace.hash4j.hashing.Hashing;

/**
 * Assigns keys to claim streams. All daemons must assign a key to the same stream, so a
 * change of the hash or of the number of streams needs new stream names.
 */
public final class ClaimPartition {

	/**
	 * The number of claim streams.
	 */
	public static final int COUNT = 8;

	private static final String STREAM_PREFIX = "claims-";

	private ClaimPartition() {
	}

	/**
	 * Returns the partition of a key.
	 * @param key the key
	 * @return a number from 0 to {@link #COUNT} - 1
	 */
	public static int of(ClaimKey key) {
		long hash = Hashing.xxh3_64()
			.hashStream()
			.putString(key.account())
			.putString(key.service())
			.putString(key.key())
			.getAsLong();
		return (int) Long.remainderUnsigned(hash, COUNT);
	}

	/**
	 * Returns the name of a partition's log stream.
	 * @param partition a number from 0 to {@link #COUNT} - 1
	 * @return the stream name
	 */
	public static String streamName(int partition) {
		return STREAM_PREFIX + partition;
	}

}
