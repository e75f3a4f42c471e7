package org.comfreyslip.entry.http;

import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.concurrent.TimeUnit;

import org.comfreyslip.entry.config.KeyedFeed;
import org.comfreyslip.entry.config.KeyedLog;
import org.comfreyslip.entry.config.TopicPosition;
import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Tests for {@link KeyFreshness}. They guard against callers that wait although another
 * daemon could serve them, and against keys that are accepted because another daemon has
 * confirmed its own.
 */
class KeyFreshnessTests {

	private static final Optional<Long> LIMIT_MS = Optional.of(5_000L);

	private final KeyedFeed feed = new KeyedFeed();

	private final KeyFreshness freshness = new KeyFreshness(this.feed);

	KeyFreshnessTests() {
		this.feed.onReadOutcome(new KeyedLog.Outcome.Page(List.of(), 10, 10, false, 0), 0, 0);
		this.feed.onReadOutcome(new KeyedLog.Outcome.Page(List.of(), 10, 10, false, 0), 0, 0);
	}

	private static long nanos(long ms) {
		return TimeUnit.MILLISECONDS.toNanos(ms);
	}

	// The store turns this daemon away; a daemon nearby reads a change of the
	// configuration.
	private void changeIsReadNearby(long atMs) {
		TopicPosition position = new TopicPosition(11, 0, 0);
		this.feed.onPeerPosition(position, OptionalLong.of(nanos(atMs)), nanos(atMs));
		this.feed.onConfirmationNearby(position, nanos(atMs));
	}

	@Test
	void aCallerMayRetryAtOnceWhileAnotherDaemonOfTheDataCentreCanConfirmItsKey() {
		changeIsReadNearby(4_000);
		assertThat(this.freshness.areFresh(LIMIT_MS, nanos(6_000))).isFalse();
		assertThat(this.freshness.staleRetryMs(LIMIT_MS, nanos(6_000))).isEqualTo(50);
	}

	@Test
	void aCallerWaitsForTheNextReadWhenNoDaemonNearbyCanConfirmItsKey() {
		assertThat(this.freshness.staleRetryMs(LIMIT_MS, nanos(6_000))).isEqualTo(400);
		changeIsReadNearby(4_000);
		assertThat(this.freshness.staleRetryMs(LIMIT_MS, nanos(9_000))).isEqualTo(400);
	}

	@Test
	void aDaemonThatLacksRecordsAsWellIsNoAlternative() {
		this.feed.onPeerPosition(new TopicPosition(12, 0, 0), OptionalLong.empty(), nanos(3_000));
		this.feed.onConfirmationNearby(new TopicPosition(11, 0, 0), nanos(4_000));
		assertThat(this.freshness.staleRetryMs(LIMIT_MS, nanos(6_000))).isEqualTo(400);
	}

	@Test
	void confirmationsOfOtherDaemonsDoNotMakeTheOwnKeysFresh() {
		changeIsReadNearby(4_999);
		assertThat(this.freshness.areFresh(LIMIT_MS, nanos(4_999))).isTrue();
		assertThat(this.freshness.areFresh(LIMIT_MS, nanos(5_000))).isFalse();
	}

}
