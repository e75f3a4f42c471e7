package org.comfreyslip.clients;

/**
 * Default time limits of calls, in milliseconds.
 *
 * @param connectMillis limit for opening a connection
 * @param readMillis limit for the first byte of a response and between two bytes
 * @param writeMillis limit for each write
 */
public record HttpTimeouts(int connectMillis, int readMillis, int writeMillis) {

	/**
	 * Limits for calls within a region. The limit for connecting is longer than 1 s,
	 * because TCP retransmits a lost connection request after that time.
	 */
	public static final HttpTimeouts DEFAULT = new HttpTimeouts(1_500, 10_000, 10_000);

	/**
	 * Checks the limits.
	 * @throws IllegalArgumentException if a limit is not positive; OkHttp takes zero for
	 * "no limit"
	 */
	public HttpTimeouts {
		if (connectMillis <= 0 || readMillis <= 0 || writeMillis <= 0) {
			throw new IllegalArgumentException("time limits must be positive");
		}
	}

}
