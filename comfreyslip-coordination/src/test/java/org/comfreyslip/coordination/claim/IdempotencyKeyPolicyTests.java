package org.comfreyslip.coordination.claim;

import java.util.Random;

import org.comfreyslip.coordination.CodedException;
import org.comfreyslip.coordination.ErrorCode;
import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatExceptionOfType;

/**
 * Guards against accepting a key whose earlier claims may have been trimmed from the log,
 * and against keys that daemons assign to different streams.
 */
class IdempotencyKeyPolicyTests {

	private static final long NOW = 1_800_000_000_000L;

	private static final long HOUR = 3_600_000;

	private final IdempotencyKeyPolicy policy = IdempotencyKeyPolicy.withDefaults(3 * HOUR);

	private KeyCheckResult check(String key) {
		return this.policy.check(new ClaimKey("account", "archive", key), NOW);
	}

	private KeyCheckResult checkKeyAt(long millis) {
		return check(IdempotencyKeyPolicy.newKey(millis, new Random(1)));
	}

	@Test
	void aKeyIsAcceptedFromTwoMinutesInTheFutureToTheEndOfTheWindow() {
		assertThat(checkKeyAt(NOW - HOUR)).isEqualTo(KeyCheckResult.ACCEPTED);
		assertThat(checkKeyAt(NOW - HOUR - 1)).isEqualTo(KeyCheckResult.TOO_OLD);
		assertThat(checkKeyAt(NOW + 120_000)).isEqualTo(KeyCheckResult.ACCEPTED);
		assertThat(checkKeyAt(NOW + 120_001)).isEqualTo(KeyCheckResult.IN_FUTURE);
	}

	@Test
	void aRandomUuidContainsNoTimeAndIsRefused() {
		assertThat(check("9b2d3f5e-3c1a-4f7b-8a7e-0123456789ab")).isEqualTo(KeyCheckResult.NOT_VERSION_7);
	}

	@Test
	void twoSpellingsOfOneUuidAreOneKey() {
		ClaimKey lower = new ClaimKey("a", "s", "01890a5d-ac96-774b-bcce-b302099a8057");
		assertThat(new ClaimKey("a", "s", "01890A5D-AC96-774B-BCCE-B302099A8057")).isEqualTo(lower);
		assertThatExceptionOfType(CodedException.class).isThrownBy(() -> new ClaimKey("a", "s", "1-2-3-4-5"))
			.matches((ex) -> ex.code() == ErrorCode.BAD_REQUEST);
	}

	@Test
	void aWindowOfHalfTheRetentionIsRefused() {
		assertThatExceptionOfType(CodedException.class).isThrownBy(() -> IdempotencyKeyPolicy.withDefaults(2 * HOUR))
			.matches((ex) -> ex.code() == ErrorCode.INVALID_SETTINGS);
	}

	// Daemons of all versions must assign a key to the same stream.
	@Test
	void thePartitionOfAKeyNeverChanges() {
		ClaimKey key = new ClaimKey("account", "archive", "01890a5d-ac96-774b-bcce-b302099a8057");
		assertThat(ClaimPartition.of(key)).isEqualTo(4);
	}

}
