package org.comfreyslip.coordination.claim;

import java.util.List;

import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Guards against records that are lost or reordered, and against claims that are reported
 * as not in the log although an append with an unknown outcome may have stored them.
 */
class ClaimBatcherTests {

	private static final long FLUSH_NANOS = 50_000_000;

	private final ClaimKey key = new ClaimKey("account", "archive", "01890a5d-ac96-774b-bcce-b302099a8057");

	private final int partition = ClaimPartition.of(this.key);

	private final ClaimBatcher batcher = new ClaimBatcher("writer", 100);

	private ClaimRecord.Claim claim(String nonce) {
		return new ClaimRecord.Claim(this.key, nonce, "daemon", "request", 0);
	}

	private ClaimBatch startOne(long nowNanos) {
		List<ClaimAppend> appends = this.batcher.startAppends(nowNanos);
		assertThat(appends).hasSize(1);
		return appends.get(0).batch();
	}

	@Test
	void aBatchIsFlushedAfterFiftyMillisecondsOrSixtyFourRecords() {
		this.batcher.offer(claim("a"), 0);
		assertThat(this.batcher.startAppends(FLUSH_NANOS - 1)).isEmpty();
		for (int i = 1; i < 64; i++) {
			this.batcher.offer(claim("n" + i), 0);
		}
		assertThat(startOne(1).records()).hasSize(64);
	}

	@Test
	void aStreamHasAtMostOneAppendInFlight() {
		this.batcher.offer(claim("a"), 0);
		ClaimBatch first = startOne(FLUSH_NANOS);
		this.batcher.offer(claim("b"), 0);
		this.batcher.onBatchRead(this.partition, first);
		assertThat(this.batcher.startAppends(10 * FLUSH_NANOS)).isEmpty();
		this.batcher.onAppendConfirmed(this.partition, first.sequence());
		assertThat(startOne(10 * FLUSH_NANOS).records()).containsExactly(claim("b"));
	}

	@Test
	void anAppendWithUnknownOutcomeIsRepeatedIdenticallyUntilItIsReadBack() {
		this.batcher.offer(claim("a"), 0);
		ClaimBatch first = startOne(FLUSH_NANOS);
		this.batcher.offer(claim("b"), 0);
		this.batcher.onAppendOutcomeUnknown(this.partition, first.sequence(), FLUSH_NANOS);
		assertThat(startOne(2 * FLUSH_NANOS)).isSameAs(first);
		this.batcher.onAppendOutcomeUnknown(this.partition, first.sequence(), 2 * FLUSH_NANOS);
		this.batcher.onBatchRead(this.partition, first);
		assertThat(startOne(3 * FLUSH_NANOS).records()).containsExactly(claim("b"));
	}

	@Test
	void aRefusalAfterAnUnknownOutcomeDoesNotReturnTheClaims() {
		this.batcher.offer(claim("a"), 0);
		ClaimBatch first = startOne(FLUSH_NANOS);
		this.batcher.onAppendOutcomeUnknown(this.partition, first.sequence(), FLUSH_NANOS);
		startOne(2 * FLUSH_NANOS);
		assertThat(this.batcher.onAppendRefused(this.partition, first.sequence(), 2 * FLUSH_NANOS)).isEmpty();
		assertThat(startOne(3 * FLUSH_NANOS)).isSameAs(first);
	}

	@Test
	void aRefusalReturnsClaimsAndQueuesReleasesAgain() {
		ClaimRecord release = new ClaimRecord.Release(this.key, "a");
		this.batcher.offer(release, 0);
		this.batcher.offer(claim("b"), 0);
		ClaimBatch first = startOne(FLUSH_NANOS);
		assertThat(this.batcher.onAppendRefused(this.partition, first.sequence(), FLUSH_NANOS))
			.containsExactly(claim("b"));
		assertThat(startOne(2 * FLUSH_NANOS).records()).containsExactly(release);
	}

	@Test
	void aFullQueueRejectsClaimsButStillAcceptsReleases() {
		for (int i = 0; i < 100; i++) {
			assertThat(this.batcher.offer(claim("n" + i), 0)).isTrue();
		}
		assertThat(this.batcher.offer(claim("late"), 0)).isFalse();
		assertThat(this.batcher.offer(new ClaimRecord.Release(this.key, "n1"), 0)).isTrue();
		assertThat(this.batcher.pendingCount(this.partition)).isEqualTo(101);
	}

}
