package org.comfreyslip.entry.config;

import java.util.List;
import java.util.Optional;
import java.util.Set;

import org.comfreyslip.entry.config.KeyedLog.KeyedRecord;
import org.comfreyslip.entry.config.KeyedLog.Outcome;
import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Tests for {@link KeyedFeed}. They guard against records that are skipped and against
 * knowledge that counts as fresher than it is.
 */
class KeyedFeedTests {

	private final KeyedFeed feed = new KeyedFeed();

	private static KeyedRecord entry(String key, long offset) {
		return new KeyedRecord(key, Optional.of(new byte[] { 1 }), offset);
	}

	private static Outcome.Page page(long next, long end, boolean more, KeyedRecord... records) {
		return new Outcome.Page(List.of(records), next, end, more);
	}

	private void snapshot(long end) {
		this.feed.onOutcome(page(end, end, false), 0, 1);
	}

	@Test
	void theLogIsReadFromTheEndThatTheFirstPageNamed() {
		this.feed.onOutcome(page(10, 10, true, entry("a", 3)), 0, 1);
		assertThat(this.feed.afterKey()).contains("a");
		KeyedFeed.Step step = this.feed.onOutcome(page(14, 14, false, entry("b", 12)), 2, 3);
		assertThat(this.feed.nextOffset()).isEqualTo(10);
		assertThat(step.onlyKeys()).contains(Set.of("a", "b"));
		assertThat(this.feed.isSnapshotting()).isFalse();
	}

	@Test
	void theAgeCountsFromSendingTheReadThatReachedTheEnd() {
		snapshot(10);
		assertThat(this.feed.ageNanos(100)).isEqualTo(Long.MAX_VALUE);
		this.feed.onOutcome(page(10, 10, false), 50, 90);
		assertThat(this.feed.ageNanos(100)).isEqualTo(50);
	}

	@Test
	void aReadThatStopsBeforeTheEndConfirmsNothing() {
		snapshot(10);
		this.feed.onOutcome(page(11, 13, false, entry("a", 10)), 50, 90);
		assertThat(this.feed.ageNanos(100)).isEqualTo(Long.MAX_VALUE);
	}

	@Test
	void expiredRecordsLeadToANewSnapshotThatNamesAllKeys() {
		snapshot(10);
		this.feed.onOutcome(new Outcome.Expired(), 50, 60);
		assertThat(this.feed.isSnapshotting()).isTrue();
		KeyedFeed.Step step = this.feed.onOutcome(page(30, 30, false, entry("c", 25)), 70, 80);
		assertThat(step.onlyKeys()).contains(Set.of("c"));
		assertThat(this.feed.nextOffset()).isEqualTo(30);
	}

	@Test
	void aPeerConfirmsOnlyWhatThisDaemonKnowsItself() {
		snapshot(10);
		this.feed.onPeerConfirmation(11, 40);
		assertThat(this.feed.ageNanos(100)).isEqualTo(Long.MAX_VALUE);
		this.feed.onPeerConfirmation(10, 40);
		assertThat(this.feed.ageNanos(100)).isEqualTo(60);
		this.feed.onPeerConfirmation(10, 20);
		assertThat(this.feed.ageNanos(100)).isEqualTo(60);
	}

	@Test
	void anOutageIsRememberedForAWhileAfterItsEnd() {
		snapshot(10);
		assertThat(this.feed.hadOutage(1_000, 20)).isFalse();
		this.feed.onOutcome(new Outcome.Unavailable("status 503"), 20, 30);
		assertThat(this.feed.isFailing()).isTrue();
		this.feed.onOutcome(page(10, 10, false), 40, 50);
		assertThat(this.feed.hadOutage(1_000, 1_000)).isTrue();
		assertThat(this.feed.hadOutage(1_000, 1_051)).isFalse();
	}

}
