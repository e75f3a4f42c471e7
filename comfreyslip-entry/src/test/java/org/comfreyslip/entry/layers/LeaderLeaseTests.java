package org.comfreyslip.entry.layers;

import java.util.concurrent.TimeUnit;

import org.comfreyslip.entry.layers.LeaderElection.Membership;
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
		this.lease.onMembership(new Membership(0, 4, true), ms(1_000));
		assertThat(this.lease.mayOrder(ms(1_100))).isTrue();
		assertThat(this.lease.mayOrder(ms(1_000 + LeaderLease.TTL_MS))).isFalse();
	}

	@Test
	void leaseEndsBeforeTheStoreMayElectAnotherLeader() {
		this.lease.onMembership(new Membership(0, 4, true), 0);
		assertThat(this.lease.mayOrder(ms(LeaderLease.TTL_MS - 400))).isFalse();
	}

	@Test
	void rejectedFencingTokenIsNotUsedAgain() {
		this.lease.onMembership(new Membership(0, 4, true), 0);
		this.lease.recordRejectedToken(4);
		assertThat(this.lease.mayOrder(ms(1))).isFalse();
		this.lease.onMembership(new Membership(0, 5, true), ms(2));
		assertThat(this.lease.mayOrder(ms(3))).isTrue();
	}

	@Test
	void memberThatIsNotLeaderHoldsNoLease() {
		this.lease.onMembership(new Membership(0, 4, false), 0);
		assertThat(this.lease.mayOrder(ms(1))).isFalse();
	}

	@Test
	void tokensIncreaseAlthoughTheGroupIsNumberedAnewAfterTheStoreWentBack() {
		this.lease.onMembership(new Membership(1, 9, true), 0);
		long before = this.lease.fencingToken();
		this.lease.onMembership(new Membership(2, 3, true), ms(100));
		assertThat(this.lease.fencingToken()).isGreaterThan(before);
		this.lease.recordRejectedToken(before);
		assertThat(this.lease.mayOrder(ms(200))).isTrue();
	}

	@Test
	void leaseFromBeforeTheStoreWentBackIsNotHeld() {
		this.lease.onMembership(new Membership(1, 9, true), 0);
		this.lease.onStoreWentBack(2);
		assertThat(this.lease.mayOrder(ms(100))).isFalse();
		assertThat(this.lease.generation()).isZero();
		this.lease.onMembership(new Membership(1, 9, true), ms(100));
		assertThat(this.lease.mayOrder(ms(200))).isFalse();
		this.lease.onMembership(new Membership(2, 3, true), ms(200));
		assertThat(this.lease.mayOrder(ms(300))).isTrue();
	}

}
