package org.comfreyslip.daemon;

import java.util.concurrent.TimeUnit;

import org.comfreyslip.coordination.claim.IdempotencyKeyPolicy;

/**
 * Times that follow from the log's retention.
 */
final class RetentionRules {

	private static final long MAX_WINDOW_MILLIS = TimeUnit.HOURS.toMillis(1);

	private static final int WINDOWS_PER_RETENTION = 3;

	private static final long FUTURE_MILLIS = TimeUnit.MINUTES.toMillis(2);

	private static final long CLOCK_MARGIN_MILLIS = TimeUnit.SECONDS.toMillis(10);

	/**
	 * Window, future limit and clock margin must fit into the retention together, with
	 * the latter two counted twice.
	 */
	private static final int MARGINS_PER_RETENTION = 6;

	private RetentionRules() {
	}

	static IdempotencyKeyPolicy keyPolicy(long retentionMillis) {
		long margin = retentionMillis / MARGINS_PER_RETENTION;
		return new IdempotencyKeyPolicy(Math.min(MAX_WINDOW_MILLIS, retentionMillis / WINDOWS_PER_RETENTION),
				retentionMillis, Math.min(FUTURE_MILLIS, margin), Math.min(CLOCK_MARGIN_MILLIS, margin));
	}

}
