package org.comfreyslip.entry.http;

import java.util.Optional;
import java.util.concurrent.TimeUnit;

import org.comfreyslip.entry.config.KeyedFeed;

/**
 * Decides whether API keys may be accepted, and when a caller whose key cannot be
 * confirmed may retry. Addresses a store that turns some daemons away and serves the
 * others: these can serve the caller at once.
 */
final class KeyFreshness {

	/**
	 * Time after which a caller may retry when no daemon nearby can confirm its key, in
	 * ms: about the time of one read that confirms it.
	 */
	static final long STALE_RETRY_MS = 400;

	/**
	 * Time after which a caller may retry when another daemon of the data centre can
	 * confirm its key, in ms: a tenth of the usual objective for a first event.
	 */
	static final long STALE_HERE_RETRY_MS = 50;

	private final KeyedFeed configurationFeed;

	/**
	 * Creates the decision.
	 * @param configurationFeed gives the age of the configuration, here and nearby
	 */
	KeyFreshness(KeyedFeed configurationFeed) {
		this.configurationFeed = configurationFeed;
	}

	/**
	 * Tells whether the keys of this daemon are fresh enough to be accepted.
	 * @param limitMs age of the configuration up to which keys are accepted, in ms; empty
	 * without a limit
	 * @param nowNanos the current elapsed time in ns
	 * @return whether they are
	 */
	boolean areFresh(Optional<Long> limitMs, long nowNanos) {
		return isFresh(limitMs, this.configurationFeed.ageNanos(nowNanos));
	}

	private static boolean isFresh(Optional<Long> limitMs, long ageNanos) {
		return limitMs.isEmpty() || ageNanos < TimeUnit.MILLISECONDS.toNanos(limitMs.get());
	}

	/**
	 * Returns the time after which a caller may retry whose key is not confirmed here.
	 * @param limitMs age of the configuration up to which keys are accepted, in ms; empty
	 * without a limit
	 * @param nowNanos the current elapsed time in ns
	 * @return the time in ms
	 */
	long staleRetryMs(Optional<Long> limitMs, long nowNanos) {
		long ageNanos = this.configurationFeed.ageNearbyNanos(nowNanos);
		return (ageNanos != Long.MAX_VALUE && isFresh(limitMs, ageNanos)) ? STALE_HERE_RETRY_MS : STALE_RETRY_MS;
	}

}
