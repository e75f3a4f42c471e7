package org.comfreyslip.daemon;

import java.util.concurrent.TimeUnit;

import org.comfreyslip.coordination.claim.IdempotencyKeyPolicy;

/**
 * Derives the time limits of idempotency keys from the retention of the log.
 */
final class RetentionRules {

	/** Longest time for which a key may be used. */
	private static final long MAX_KEY_WINDOW_MILLIS = TimeUnit.HOURS.toMillis(1);

	private static final int WINDOWS_PER_RETENTION = 3;

	/** How far in the future the time of a key may lie at most. */
	private static final long MAX_FUTURE_MILLIS = TimeUnit.MINUTES.toMillis(2);

	/** Largest allowance for the difference between clocks of hosts. */
	private static final long MAX_CLOCK_MARGIN_MILLIS = TimeUnit.SECONDS.toMillis(10);

	/**
	 * Each margin takes at most a sixth of the retention. The key window, twice the
	 * future limit and twice the clock margin must together fit into the retention.
	 */
	private static final int MARGINS_PER_RETENTION = 6;

	private RetentionRules() {
	}

	static IdempotencyKeyPolicy keyPolicy(long retentionMillis) {
		long marginMillis = retentionMillis / MARGINS_PER_RETENTION;
		return new IdempotencyKeyPolicy(Math.min(MAX_KEY_WINDOW_MILLIS, retentionMillis / WINDOWS_PER_RETENTION),
				retentionMillis, Math.min(MAX_FUTURE_MILLIS, marginMillis),
				Math.min(MAX_CLOCK_MARGIN_MILLIS, marginMillis));
	}

}
