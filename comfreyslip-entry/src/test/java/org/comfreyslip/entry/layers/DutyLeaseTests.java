package org.comfreyslip.entry.layers;

import java.util.concurrent.TimeUnit;

import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Tests for {@link DutyLease}. They guard against orders from a daemon that lost the duty
 * while it was paused or cut off.
 */
class DutyLeaseTests {

	private final DutyLease lease = new DutyLease();

	private static long ms(long value) {
		return TimeUnit.MILLISECONDS.toNanos(value);
	}

	@Test
	void theLeaseCountsFromSendingTheRenewal() {
		this.lease.onRenewed(true, 4, ms(1_000));
		assertThat(this.lease.isHeld(ms(1_100))).isTrue();
		assertThat(this.lease.isHeld(ms(1_000 + DutyLease.TTL_MS))).isFalse();
	}

	@Test
	void itEndsBeforeTheStoreMayGiveItAway() {
		this.lease.onRenewed(true, 4, 0);
		assertThat(this.lease.isHeld(ms(DutyLease.TTL_MS - 400))).isFalse();
	}

	@Test
	void aRefusedTokenIsNotUsedAgain() {
		this.lease.onRenewed(true, 4, 0);
		this.lease.onFenced(4);
		assertThat(this.lease.isHeld(ms(1))).isFalse();
		this.lease.onRenewed(true, 5, ms(2));
		assertThat(this.lease.isHeld(ms(3))).isTrue();
	}

	@Test
	void aMemberWithoutTheDutyHoldsNothing() {
		this.lease.onRenewed(false, 4, 0);
		assertThat(this.lease.isHeld(ms(1))).isFalse();
	}

}
