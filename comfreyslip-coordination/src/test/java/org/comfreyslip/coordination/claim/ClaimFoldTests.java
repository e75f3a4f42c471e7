package org.comfreyslip.coordination.claim;

import java.util.List;
import java.util.Random;
import java.util.stream.LongStream;

import org.comfreyslip.coordination.CodedException;
import org.comfreyslip.coordination.ErrorCode;
import org.comfreyslip.coordination.claim.ClaimRecord.Claim;
import org.comfreyslip.coordination.claim.ClaimRecord.Outcome;
import org.comfreyslip.coordination.claim.ClaimRecord.Release;
import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatExceptionOfType;

/**
 * Guards against two claims in force on one key, and against a key that looks unused
 * because its records were trimmed or dropped.
 */
class ClaimFoldTests {

	private static final long NOW = 1_800_000_000_000L;

	private static final IdempotencyKeyPolicy POLICY = new IdempotencyKeyPolicy(60_000, 130_000, 2_000, 1_000);

	private static final RecordedResponse RESPONSE = new RecordedResponse(201, "", "digest", "", false);

	private final Random random = new Random(7);

	private final ClaimKey key = keyAt(NOW);

	private final ClaimFold fold = new ClaimFold(POLICY, 100);

	private ClaimKey keyAt(long millis) {
		return new ClaimKey("account", "archive", IdempotencyKeyPolicy.newKey(millis, this.random));
	}

	private Claim claim(String nonce) {
		return new Claim(this.key, nonce, "daemon", "request", NOW + 1000);
	}

	private void read(ClaimRecord... records) {
		this.fold.updateLogBounds(0, this.fold.nextOffset() + 1, NOW);
		this.fold.apply(this.fold.nextOffset(), new ClaimBatch("daemon", 1, List.of(records)));
	}

	private ClaimView view() {
		return this.fold.view(this.key, "a");
	}

	@Test
	void theClaimWithTheLowestOffsetIsInForce() {
		read(claim("a"), claim("b"));
		assertThat(view().isClaimedBy("a")).isTrue();
		assertThat(this.fold.view(this.key, "b").ownClaimRead()).isTrue();
	}

	@Test
	void aReleaseOfTheClaimInForceFreesTheKey() {
		read(claim("a"), new Release(this.key, "a"));
		assertThat(view().status()).isEqualTo(ClaimStatus.FREE);
	}

	@Test
	void aReleaseOfALaterClaimHasNoEffect() {
		read(claim("a"), claim("b"), new Release(this.key, "b"));
		assertThat(view().isClaimedBy("a")).isTrue();
	}

	@Test
	void aRepeatedBatchDoesNotClaimAReleasedKeyAgain() {
		read(claim("a"));
		read(claim("b"));
		read(new Release(this.key, "a"));
		read(claim("a"));
		read(claim("b"));
		assertThat(view().status()).isEqualTo(ClaimStatus.FREE);
	}

	@Test
	void anOutcomeOfALaterClaimIsIgnored() {
		read(claim("a"), claim("b"), new Outcome(this.key, "b", false, RESPONSE));
		assertThat(view().status()).isEqualTo(ClaimStatus.CLAIMED);
	}

	@Test
	void aRecordedOutcomeIsNeitherReplacedNorReleased() {
		Outcome first = new Outcome(this.key, "a", true, RESPONSE);
		read(claim("a"), first, new Outcome(this.key, "a", false, RESPONSE), new Release(this.key, "a"));
		assertThat(view().outcome()).isSameAs(first);
	}

	@Test
	void aKeyAcceptsABoundedNumberOfClaims() {
		for (int i = 0; i <= ClaimEntry.MAX_CLAIMS; i++) {
			read(claim("n" + i), new Release(this.key, "n" + i));
		}
		assertThat(view().claimLimitReached()).isTrue();
	}

	@Test
	void aSecondBatchAtTheSameOffsetIsIgnored() {
		read(claim("a"));
		this.fold.apply(0, new ClaimBatch("daemon", 1, List.of(new Release(this.key, "a"))));
		assertThat(view().isClaimedBy("a")).isTrue();
	}

	@Test
	void aSkippedOffsetIsAnInvariantViolation() {
		this.fold.updateLogBounds(0, 9, NOW);
		assertThatExceptionOfType(CodedException.class)
			.isThrownBy(() -> this.fold.apply(1, new ClaimBatch("daemon", 1, List.of())))
			.matches((ex) -> ex.code() == ErrorCode.INVARIANT_VIOLATED);
	}

	@Test
	void aFoldOfATrimmedStreamIsCompleteOnlyForKeysWithinTheRetentionAndAfterReadingToTheEnd() {
		this.fold.updateLogBounds(5, 6, NOW);
		assertThat(this.fold.isCompleteFor(this.key)).isFalse();
		this.fold.apply(5, new ClaimBatch("daemon", 1, List.of()));
		assertThat(this.fold.isCompleteFor(keyAt(NOW - 60_000))).isTrue();
		assertThat(this.fold.isCompleteFor(keyAt(NOW - 128_000))).isFalse();
	}

	@Test
	void recordsThatWereTrimmedWithinTheRetentionMakeTheFoldIncompleteForEarlierKeys() {
		this.fold.updateLogBounds(0, 0, NOW);
		this.fold.updateLogBounds(3, 3, NOW + 5000);
		assertThat(this.fold.isCompleteFor(this.key)).isFalse();
		assertThat(this.fold.isCompleteFor(keyAt(NOW + 8001))).isTrue();
	}

	@Test
	void theFoldStaysIncompleteForADroppedKeyWhenTheClockIsSetBack() {
		read(claim("a"));
		this.fold.expire(NOW + 200_000);
		this.fold.updateLogBounds(0, 1, NOW);
		assertThat(this.fold.size()).isZero();
		assertThat(view().complete()).isFalse();
	}

	@Test
	void aFullFoldIsIncompleteForTheKeysThatItDropped() {
		LongStream.range(0, 150)
			.mapToObj((millis) -> new Claim(keyAt(NOW + millis), "n" + millis, "daemon", "request", NOW))
			.forEach(this::read);
		assertThat(this.fold.size()).isEqualTo(100);
		assertThat(this.fold.isCompleteFor(keyAt(NOW + 49))).isFalse();
		assertThat(this.fold.isCompleteFor(keyAt(NOW + 50))).isTrue();
	}

}
