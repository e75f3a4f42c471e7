package org.comfreyslip.coordination.claim;

import java.util.Random;

import org.comfreyslip.coordination.CodedException;
import org.comfreyslip.coordination.ErrorCode;
import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatExceptionOfType;

/**
 * Guards against keys whose earlier claims may have left the log.
 */
class IdempotencyKeyPolicyTests {

	private static final long NOW = 1_800_000_000_000L;

	private static final long HOUR = 3_600_000;

	private final IdempotencyKeyPolicy policy = IdempotencyKeyPolicy.withDefaults(3 * HOUR);

	private KeyVerdict judge(String key) {
		return this.policy.judge(new ClaimKey("account", "archive", key), NOW);
	}

	private KeyVerdict judgeKeyAt(long millis) {
		return judge(IdempotencyKeyPolicy.newKey(millis, new Random(1)));
	}

	@Test
	void aKeyIsAcceptedFromTwoMinutesInTheFutureToTheEndOfTheWindow() {
		assertThat(judgeKeyAt(NOW - HOUR)).isEqualTo(KeyVerdict.ACCEPTED);
		assertThat(judgeKeyAt(NOW - HOUR - 1)).isEqualTo(KeyVerdict.TOO_OLD);
		assertThat(judgeKeyAt(NOW + 120_000)).isEqualTo(KeyVerdict.ACCEPTED);
		assertThat(judgeKeyAt(NOW + 120_001)).isEqualTo(KeyVerdict.IN_FUTURE);
	}

	@Test
	void aRandomUuidCarriesNoTimeAndIsRefused() {
		assertThat(judge("9b2d3f5e-3c1a-4f7b-8a7e-0123456789ab")).isEqualTo(KeyVerdict.NOT_VERSION_7);
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

	// All daemons of all versions must place a key in the same stream.
	@Test
	void thePartitionOfAKeyNeverChanges() {
		ClaimKey key = new ClaimKey("account", "archive", "01890a5d-ac96-774b-bcce-b302099a8057");
		assertThat(ClaimPartition.of(key)).isEqualTo(4);
	}

}
