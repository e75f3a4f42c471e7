package org.comfreyslip.entry.blame;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;

import org.comfreyslip.entry.config.KeyedLog;
import org.comfreyslip.entry.config.KeyedLog.KeyedRecord;
import org.comfreyslip.entry.config.KeyedLog.Outcome;
import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Guards against causes that are forgotten although the store holds them, against
 * refusals because of records that do not count, and against lost writes.
 */
class CauseKeeperTests {

	private static final long NOW_EPOCH_MS = 1_700_000_000_000L;

	private static final Set<String> BAD = Set.of("bad", "kind0");

	private final CrashBlame blame = new CrashBlame("d1", 0);

	private final List<byte[]> written = new ArrayList<>();

	private Outcome outcome = new Outcome.Unavailable("down");

	private boolean writesSucceed = true;

	private final CauseKeeper keeper = new CauseKeeper(this.blame, new KeyedLog() {
		@Override
		public void readNewest(Optional<String> afterKey, Consumer<Outcome> done) {
			done.accept(CauseKeeperTests.this.outcome);
		}

		@Override
		public void read(long fromOffset, long waitMs, Consumer<Outcome> done) {
			throw new UnsupportedOperationException();
		}
	}, (key, value, done) -> {
		this.written.add(value);
		done.accept(this.writesSucceed);
	}, 0);

	private static KeyedRecord stored(long sinceEpochMs, long periodMs) {
		byte[] value = new CauseRecord(List.of("bad", "kind0"), sinceEpochMs, periodMs).encode();
		return new KeyedRecord(CauseRecord.key(BAD), Optional.of(value), 0);
	}

	private void answer(KeyedRecord... records) {
		this.outcome = new Outcome.Page(List.of(records), 0, 0, false, 0);
	}

	private void update(long nowMs) {
		this.keeper.update(TimeUnit.MILLISECONDS.toNanos(nowMs), NOW_EPOCH_MS + nowMs);
	}

	private boolean isRefused(long nowMs) {
		return this.blame.refusalMs(Set.of("bad", "kind0", "r1"), TimeUnit.MILLISECONDS.toNanos(nowMs)).isPresent();
	}

	@Test
	void aCauseOfTheStoreIsInForceAsSoonAsTheStoreAnswers() {
		update(0);
		assertThat(this.keeper.hasRead()).isFalse();
		answer(stored(NOW_EPOCH_MS - 5_000, 15_000));
		update(700);
		assertThat(this.keeper.hasRead()).isTrue();
		assertThat(isRefused(700)).isTrue();
		assertThat(this.blame.refusalMs(Set.of("kind0", "r2"), 0)).isEmpty();
	}

	@Test
	void aCauseWhoseTimeLiesInTheFutureCountsAsNew() {
		answer(stored(NOW_EPOCH_MS + 60_000, 15_000));
		update(0);
		assertThat(isRefused(14_000)).isTrue();
		assertThat(isRefused(30_000)).isFalse();
	}

	@Test
	void anEndedCauseIsNotUsedAndRemovedFromTheStore() {
		answer(stored(NOW_EPOCH_MS - 3_600_000, 15_000));
		update(0);
		assertThat(isRefused(0)).isFalse();
		update(50);
		assertThat(this.written).containsExactly(new byte[0]);
	}

	@Test
	void recordsThatAreNoCausesAreSkipped() {
		answer(new KeyedRecord("a", Optional.of(new byte[] { 7 }), 0),
				new KeyedRecord("b", Optional.of(new byte[] { 1, 0, 0 }), 1), new KeyedRecord("c", Optional.empty(), 2),
				stored(NOW_EPOCH_MS, 15_000));
		update(0);
		assertThat(isRefused(0)).isTrue();
	}

	@Test
	void aWriteThatTheStoreDoesNotAcknowledgeIsRepeated() {
		this.writesSucceed = false;
		answer(stored(NOW_EPOCH_MS, 15_000));
		update(0);
		this.blame.onAnswered(Set.of("bad", "kind0"), TimeUnit.MILLISECONDS.toNanos(100));
		update(100);
		assertThat(this.written).isNotEmpty();
		int before = this.written.size();
		update(200);
		assertThat(this.written).hasSize(before);
		this.writesSucceed = true;
		update(900);
		assertThat(this.written).hasSizeGreaterThan(before);
		int after = this.written.size();
		update(2_000);
		assertThat(this.written).hasSize(after);
	}

}
