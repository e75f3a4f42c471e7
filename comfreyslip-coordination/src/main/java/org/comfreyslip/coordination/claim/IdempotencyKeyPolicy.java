package org.comfreyslip.coordination.claim;

import java.util.UUID;
import java.util.random.RandomGenerator;

import org.comfreyslip.coordination.CodedException;
import org.comfreyslip.coordination.ErrorCode;

/**
 * Decides by the age of an idempotency key whether all claims on it must still be in the
 * log. Only such keys are accepted. Keys are UUIDs of version 7 (RFC 9562, section 5.7).
 *
 * @param windowMillis the maximum age of a key, in milliseconds
 * @param retentionMillis how long the log keeps records, in milliseconds
 * @param maxFutureMillis how far ahead of the current time a key may have been created,
 * in milliseconds
 * @param clockMarginMillis the maximum difference between the clocks of two daemons or
 * services, in milliseconds
 */
public record IdempotencyKeyPolicy(long windowMillis, long retentionMillis, long maxFutureMillis,
		long clockMarginMillis) {

	private static final long DEFAULT_WINDOW_MILLIS = 3_600_000;

	private static final long DEFAULT_MAX_FUTURE_MILLIS = 120_000;

	private static final long DEFAULT_CLOCK_MARGIN_MILLIS = 10_000;

	private static final int UUID_VERSION = 7;

	private static final int UUID_VARIANT = 2;

	private static final int TIMESTAMP_SHIFT = 16;

	private static final long VERSION_BITS = 0x7000L;

	private static final long RAND_A_MASK = 0x0fffL;

	private static final long VARIANT_BITS = 0x8000000000000000L;

	private static final long RAND_B_MASK = 0x3fffffffffffffffL;

	/**
	 * Checks that the window and the margins fit within the retention.
	 * @throws CodedException with {@link ErrorCode#INVALID_SETTINGS} if the window is not
	 * positive or not less than half of the retention, or if window and margins together
	 * exceed the retention
	 */
	public IdempotencyKeyPolicy {
		long needed = windowMillis + 2 * (maxFutureMillis + clockMarginMillis);
		if (windowMillis <= 0 || 2 * windowMillis >= retentionMillis || needed > retentionMillis) {
			throw new CodedException(ErrorCode.INVALID_SETTINGS, "a key window of " + windowMillis
					+ " ms with margins does not fit a log retention of " + retentionMillis + " ms; reduce the window");
		}
	}

	/**
	 * Creates a policy with a window of 1 h, a future limit of 2 min and a clock margin
	 * of 10 s.
	 * @param retentionMillis how long the log keeps records, in milliseconds
	 * @return the policy
	 * @throws CodedException with {@link ErrorCode#INVALID_SETTINGS} if the retention is
	 * too short
	 */
	public static IdempotencyKeyPolicy withDefaults(long retentionMillis) {
		return new IdempotencyKeyPolicy(DEFAULT_WINDOW_MILLIS, retentionMillis, DEFAULT_MAX_FUTURE_MILLIS,
				DEFAULT_CLOCK_MARGIN_MILLIS);
	}

	/**
	 * Checks whether a key can be claimed.
	 * @param key the key
	 * @param nowEpochMillis the current time in milliseconds since the epoch
	 * @return {@link KeyCheckResult#ACCEPTED}, or why the key is refused
	 */
	public KeyCheckResult check(ClaimKey key, long nowEpochMillis) {
		UUID uuid = key.uuid();
		if (uuid.version() != UUID_VERSION || uuid.variant() != UUID_VARIANT) {
			return KeyCheckResult.NOT_VERSION_7;
		}
		long age = nowEpochMillis - key.timestampEpochMillis();
		if (age > this.windowMillis) {
			return KeyCheckResult.TOO_OLD;
		}
		return (age < -this.maxFutureMillis) ? KeyCheckResult.IN_FUTURE : KeyCheckResult.ACCEPTED;
	}

	/**
	 * Creates a key.
	 * @param nowEpochMillis the current time in milliseconds since the epoch
	 * @param random the source of the 74 random bits
	 * @return a UUID of version 7 in canonical text form
	 */
	public static String newKey(long nowEpochMillis, RandomGenerator random) {
		long high = (nowEpochMillis << TIMESTAMP_SHIFT) | VERSION_BITS | (random.nextLong() & RAND_A_MASK);
		long low = VARIANT_BITS | (random.nextLong() & RAND_B_MASK);
		return new UUID(high, low).toString();
	}

	/**
	 * Returns the lower bound of the keys that a fold has to keep. A key is claimed
	 * within the window, so no daemon uses an older key, even if its clock is behind by
	 * the margin.
	 * @param nowEpochMillis the current time in milliseconds since the epoch
	 * @return the creation time of the oldest key to keep
	 */
	long oldestKeptKeyEpochMillis(long nowEpochMillis) {
		return nowEpochMillis - this.windowMillis - 2 * this.clockMarginMillis;
	}

	/**
	 * Returns an upper bound for the keys in records that the log has trimmed, provided
	 * that it keeps its retention.
	 * @param nowEpochMillis the current time in milliseconds since the epoch
	 * @return a creation time later than that of every key in a trimmed record
	 */
	long newestTrimmedKeyEpochMillis(long nowEpochMillis) {
		return newestClaimableKeyEpochMillis(nowEpochMillis) - this.retentionMillis;
	}

	/**
	 * Returns an upper bound for the keys that a daemon can have claimed until now.
	 * @param nowEpochMillis the current time in milliseconds since the epoch
	 * @return a creation time later than that of every claimed key
	 */
	long newestClaimableKeyEpochMillis(long nowEpochMillis) {
		return nowEpochMillis + this.maxFutureMillis + this.clockMarginMillis + 1;
	}

}
