package org.comfreyslip.entry.layers;

import java.util.concurrent.TimeUnit;

import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Tests for {@link LeaderLease}. They guard against orders from a daemon that lost the
 * leadership while its process was paused or cut off from the network.
 */
class LeaderLeaseTests {

	private final LeaderLease lease = new LeaderLease();

	private static long ms(long value) {
		return TimeUnit.MILLISECONDS.toNanos(value);
	}

	@Test
	void leaseRunsFromSendingTheRenewal() {
		this.lease.onMembership(true, 4, ms(1_000));
		assertThat(this.lease.isHeld(ms(1_100))).isTrue();
		assertThat(this.lease.isHeld(ms(1_000 + LeaderLease.TTL_MS))).isFalse();
	}

	@Test
	void leaseEndsBeforeTheStoreMayElectAnotherLeader() {
		this.lease.onMembership(true, 4, 0);
		assertThat(this.lease.isHeld(ms(LeaderLease.TTL_MS - 400))).isFalse();
	}

	@Test
	void rejectedFencingTokenIsNotUsedAgain() {
		this.lease.onMembership(true, 4, 0);
		this.lease.recordRejectedToken(4);
		assertThat(this.lease.isHeld(ms(1))).isFalse();
		this.lease.onMembership(true, 5, ms(2));
		assertThat(this.lease.isHeld(ms(3))).isTrue();
	}

	@Test
	void memberThatIsNotLeaderHoldsNoLease() {
		this.lease.onMembership(false, 4, 0);
		assertThat(this.lease.isHeld(ms(1))).isFalse();
	}

}
