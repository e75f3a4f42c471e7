package org.comfreyslip.entry.config;

import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Set;

import org.comfreyslip.entry.config.KeyedLog.KeyedRecord;
import org.comfreyslip.entry.config.KeyedLog.Outcome;
import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Tests for {@link KeyedFeed}. They guard against records that are skipped and against
 * knowledge that is reported younger than it is.
 */
class KeyedFeedTests {

	private final KeyedFeed feed = new KeyedFeed();

	private static KeyedRecord keyedRecord(String key, long offset) {
		return new KeyedRecord(key, Optional.of(new byte[] { 1 }), offset);
	}

	private static Outcome.Page page(long next, long end, boolean more, KeyedRecord... records) {
		return pageOfEra(0, next, end, more, records);
	}

	private static Outcome.Page pageOfEra(long era, long next, long end, boolean more, KeyedRecord... records) {
		return new Outcome.Page(List.of(records), next, end, more, era);
	}

	private void readSnapshot(long end) {
		this.feed.onReadOutcome(page(end, end, false), 0, 1);
	}

	@Test
	void theLogIsReadFromTheEndOffsetOfTheFirstSnapshotPage() {
		this.feed.onReadOutcome(page(10, 10, true, keyedRecord("a", 3)), 0, 1);
		assertThat(this.feed.afterKey()).contains("a");
		KeyedFeed.Update update = this.feed.onReadOutcome(page(14, 14, false, keyedRecord("b", 12)), 2, 3);
		assertThat(this.feed.nextOffset()).isEqualTo(10);
		assertThat(update.snapshotKeys()).contains(Set.of("a", "b"));
		assertThat(this.feed.isSnapshotting()).isFalse();
	}

	@Test
	void theAgeCountsFromTheSendingOfTheReadThatReachedTheEnd() {
		readSnapshot(10);
		assertThat(this.feed.ageNanos(100)).isEqualTo(Long.MAX_VALUE);
		this.feed.onReadOutcome(page(10, 10, false), 50, 90);
		assertThat(this.feed.ageNanos(100)).isEqualTo(50);
	}

	@Test
	void aReadThatStopsBeforeTheEndConfirmsNothing() {
		readSnapshot(10);
		this.feed.onReadOutcome(page(11, 13, false, keyedRecord("a", 10)), 50, 90);
		assertThat(this.feed.ageNanos(100)).isEqualTo(Long.MAX_VALUE);
	}

	@Test
	void expiredRecordsCauseANewSnapshotThatNamesAllKeys() {
		readSnapshot(10);
		this.feed.onReadOutcome(new Outcome.Expired(), 50, 60);
		assertThat(this.feed.isSnapshotting()).isTrue();
		KeyedFeed.Update update = this.feed.onReadOutcome(page(30, 30, false, keyedRecord("c", 25)), 70, 80);
		assertThat(update.snapshotKeys()).contains(Set.of("c"));
		assertThat(this.feed.nextOffset()).isEqualTo(30);
	}

	@Test
	void aPeerConfirmsOnlyWhatThisDaemonHasReadItself() {
		readSnapshot(10);
		this.feed.onPeerConfirmation(0, 11, 40);
		assertThat(this.feed.ageNanos(100)).isEqualTo(Long.MAX_VALUE);
		this.feed.onPeerConfirmation(0, 10, 40);
		assertThat(this.feed.ageNanos(100)).isEqualTo(60);
		this.feed.onPeerConfirmation(0, 10, 20);
		assertThat(this.feed.ageNanos(100)).isEqualTo(60);
	}

	@Test
	void anOutageIsRememberedForSomeTimeAfterItsEnd() {
		readSnapshot(10);
		assertThat(this.feed.hadOutageWithin(1_000, 20)).isFalse();
		this.feed.onReadOutcome(new Outcome.Unavailable("status 503"), 20, 30);
		assertThat(this.feed.isStoreUnavailable()).isTrue();
		this.feed.onReadOutcome(page(10, 10, false), 40, 50);
		assertThat(this.feed.hadOutageWithin(1_000, 1_000)).isTrue();
		assertThat(this.feed.hadOutageWithin(1_000, 1_051)).isFalse();
	}

	@Test
	void allKeysAreReadAgainAfterTheStoreWentBackAlthoughItsEndReachesTheOffset() {
		readSnapshot(10);
		KeyedFeed.Update lost = this.feed.onReadOutcome(pageOfEra(1, 12, 12, false, keyedRecord("a", 11)), 50, 60);
		assertThat(lost.records()).isEmpty();
		assertThat(this.feed.isSnapshotting()).isTrue();
		assertThat(this.feed.hadOutageWithin(1_000, 100)).isTrue();
		KeyedFeed.Update update = this.feed.onReadOutcome(pageOfEra(1, 12, 12, false, keyedRecord("c", 9)), 70, 80);
		assertThat(update.snapshotKeys()).contains(Set.of("c"));
		assertThat(this.feed.nextOffset()).isEqualTo(12);
	}

	@Test
	void aResponseFromBeforeTheStoreWentBackIsIgnored() {
		this.feed.onReadOutcome(pageOfEra(2, 10, 10, false), 0, 1);
		this.feed.onReadOutcome(pageOfEra(1, 14, 14, false, keyedRecord("a", 13)), 50, 60);
		assertThat(this.feed.nextOffset()).isEqualTo(10);
		assertThat(this.feed.isSnapshotting()).isFalse();
		assertThat(this.feed.ageNanos(100)).isEqualTo(Long.MAX_VALUE);
	}

	@Test
	void aPeerThatReadTheStoreBeforeItWentBackConfirmsNothing() {
		this.feed.onReadOutcome(pageOfEra(2, 10, 10, false), 0, 1);
		this.feed.onPeerConfirmation(1, 8, 40);
		assertThat(this.feed.ageNanos(100)).isEqualTo(Long.MAX_VALUE);
		this.feed.onPeerConfirmation(2, 8, 40);
		assertThat(this.feed.ageNanos(100)).isEqualTo(60);
	}

	@Test
	void confirmationsThatAreHeldDoNotCount() {
		readSnapshot(10);
		this.feed.setConfirmationsHeld(true);
		this.feed.onReadOutcome(page(10, 10, false), 50, 90);
		this.feed.onPeerConfirmation(0, 10, 60);
		assertThat(this.feed.ageNanos(100)).isEqualTo(Long.MAX_VALUE);
		this.feed.setConfirmationsHeld(false);
		this.feed.onReadOutcome(page(10, 10, false), 70, 90);
		assertThat(this.feed.ageNanos(100)).isEqualTo(30);
	}

	@Test
	void relayedRecordsContinueWhatWasReadAndConfirmNothing() {
		readSnapshot(10);
		KeyedFeed.Update update = this.feed.onRelayedRecords(0,
				List.of(keyedRecord("a", 9), keyedRecord("b", 10), keyedRecord("c", 11)));
		assertThat(update.records()).extracting(KeyedRecord::key).containsExactly("b", "c");
		assertThat(this.feed.nextOffset()).isEqualTo(12);
		assertThat(this.feed.ageNanos(100)).isEqualTo(Long.MAX_VALUE);
	}

	@Test
	void relayedRecordsBehindAGapOfAnotherEraOrDuringASnapshotAreNotApplied() {
		assertThat(this.feed.onRelayedRecords(0, List.of(keyedRecord("a", 0))).records()).isEmpty();
		readSnapshot(10);
		assertThat(this.feed.onRelayedRecords(0, List.of(keyedRecord("a", 11))).records()).isEmpty();
		assertThat(this.feed.onRelayedRecords(1, List.of(keyedRecord("a", 10))).records()).isEmpty();
		assertThat(this.feed.nextOffset()).isEqualTo(10);
	}

	@Test
	void aDaemonIsBehindWhileAnotherKnowsRecordsThatItLacks() {
		readSnapshot(10);
		this.feed.onPeerPosition(new TopicPosition(12, -1, 0), OptionalLong.empty(), 50);
		assertThat(this.feed.isBehindPeers(30, 70)).isFalse();
		assertThat(this.feed.isBehindPeers(30, 80)).isTrue();
		this.feed.onReadOutcome(page(12, 12, false, keyedRecord("a", 11)), 80, 90);
		assertThat(this.feed.isBehindPeers(0, 90)).isFalse();
		this.feed.onPeerPosition(new TopicPosition(3, -1, 1), OptionalLong.empty(), 100);
		assertThat(this.feed.isBehindPeers(0, 100)).isTrue();
	}

	@Test
	void thePositionNamesTheAgeUnlessTheKnowledgeCountsAsCurrent() {
		assertThat(this.feed.position(0, 100)).isEqualTo(TopicPosition.UNKNOWN);
		readSnapshot(10);
		assertThat(this.feed.position(1_000, 100)).isEqualTo(new TopicPosition(10, -1, 0));
		this.feed.onReadOutcome(page(10, 10, false), 50, 90);
		assertThat(this.feed.position(0, 100)).isEqualTo(new TopicPosition(10, 50, 0));
		assertThat(this.feed.position(50, 100)).isEqualTo(new TopicPosition(10, 0, 0));
		assertThat(this.feed.position(49, 100)).isEqualTo(new TopicPosition(10, 50, 0));
	}

	// Otherwise the daemon would read again and again.
	@Test
	void aPositionBeyondTheEndOfTheTopicDoesNotCountAfterTheNextRead() {
		readSnapshot(10);
		this.feed.onPeerPosition(new TopicPosition(1_000, -1, 0), OptionalLong.empty(), 50);
		assertThat(this.feed.isBehindPeers(0, 60)).isTrue();
		this.feed.onReadOutcome(page(10, 10, false), 60, 70);
		assertThat(this.feed.isBehindPeers(0, 80)).isFalse();
	}

}
