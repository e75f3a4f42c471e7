package org.comfreyslip.coordination.lease;

import java.util.Optional;

import org.comfreyslip.coordination.CodedException;
import org.comfreyslip.coordination.ErrorCode;
import org.comfreyslip.coordination.lease.LeaseRecord.Acquire;
import org.comfreyslip.coordination.lease.LeaseRecord.Renew;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatExceptionOfType;

/**
 * Guards against two daemons that send orders under the same lease at the same time.
 */
class LeaseHolderTests {

	private static final LeaseTiming TIMING = new LeaseTiming(1000, 100, 250, 300);

	private final LeaseFold fold = new LeaseFold(0);

	private final LeaseHolder holder = new LeaseHolder("placement", "a", TIMING, () -> "nonce", 0);

	@BeforeEach
	void acquireTheLease() {
		this.holder.onReadToTail(0, this.fold.state("placement"));
		append(0, this.holder.nextRecord(0).orElseThrow());
	}

	@Test
	void theLeaseIsValidUntilTheSendTimeOfTheLastRenewalPlusTheLeaseTimeMinusTheMargin() {
		LeaseRecord renewal = this.holder.nextRecord(200).orElseThrow();
		this.holder.nextRecord(400);
		append(450, renewal);
		advanceTo(1099);
		assertThat(this.holder.isValid(1099)).isTrue();
		assertThat(this.holder.isValid(1100)).isFalse();
	}

	@Test
	void aHolderThatWasPausedReadsTheLogBeforeItsNextOrder() {
		assertThat(this.holder.isValid(200)).isTrue();
		this.holder.nextRecord(600);
		assertThat(this.holder.isValid(600)).isFalse();
		this.holder.onReadToTail(599, this.fold.state("placement"));
		assertThat(this.holder.isValid(600)).isFalse();
		this.holder.onReadToTail(601, this.fold.state("placement"));
		assertThat(this.holder.isValid(601)).isTrue();
	}

	@Test
	void aHolderThatReadsTheAcceptedRequestOfASuccessorStops() {
		append(100, new Acquire("placement", "b", "other", 0, 0));
		assertThat(this.holder.isValid(100)).isFalse();
	}

	@Test
	void aContenderThatMissedARenewalIsRefused() {
		append(100, this.holder.nextRecord(100).orElseThrow());
		assertThat(this.fold.apply(2, new Acquire("placement", "b", "other", 0, 0))).isEqualTo(LeaseVerdict.REFUSED);
		assertThat(this.fold.state("placement").holder()).isEqualTo("a");
	}

	@Test
	void aRequestThatIsAppendedTwiceKeepsItsFirstFencingToken() {
		assertThat(this.fold.apply(1, new Acquire("placement", "a", "nonce", -1, -1)))
			.isEqualTo(LeaseVerdict.DUPLICATE);
		assertThat(this.fold.state("placement").fencingToken()).isZero();
	}

	@Test
	void aRenewalOfAnEarlierHolderIsRefused() {
		this.fold.apply(1, new Acquire("placement", "b", "other", 0, 0));
		assertThat(this.fold.apply(2, new Renew("placement", "a", 0, 1))).isEqualTo(LeaseVerdict.REFUSED);
	}

	@Test
	void aResignedLeaseIsFreeAtOnce() {
		append(100, this.holder.resign().orElseThrow());
		assertThat(this.holder.isValid(100)).isFalse();
		LeaseHolder other = new LeaseHolder("placement", "b", TIMING, () -> "other", 100);
		other.onReadToTail(100, this.fold.state("placement"));
		assertThat(other.nextRecord(101)).isPresent();
	}

	@Test
	void aFoldThatStartsInsideTheLogLearnsTheHolderFromARenewal() {
		LeaseFold late = new LeaseFold(10);
		late.apply(10, new Acquire("placement", "stale", "old", 2, 2));
		late.apply(11, new Acquire("placement", "b", "new", 3, 3));
		late.apply(12, new Renew("placement", "b", 11, 1));
		assertThat(late.state("placement").holder()).isEqualTo("b");
		assertThat(late.state("placement").proven()).isTrue();
	}

	@Test
	void anEndpointThatIgnoresTokensIsReadBeforeAndAfterTheOrderAndOnlyAfterTheTimeLimit() {
		FencedOrder<String> order = new FencedOrder<>(this.holder, EndpointFencing.IGNORES_TOKEN, "model-b", 50, 0);
		assertThat(order.nextAction(49)).isEqualTo(FencedOrder.Action.WAIT);
		assertThat(order.nextAction(50)).isEqualTo(FencedOrder.Action.READ_STATE);
		order.onStateRead("model-a");
		assertThat(order.nextAction(51)).isEqualTo(FencedOrder.Action.SEND_ORDER);
		order.onOrderExecuted();
		assertThat(order.nextAction(52)).isEqualTo(FencedOrder.Action.READ_STATE);
		order.onStateRead("model-b");
		assertThat(order.outcome()).contains(FencedOrder.Outcome.REACHED);
	}

	@Test
	void noOrderIsSentAfterTheLeaseHasEnded() {
		FencedOrder<String> order = new FencedOrder<>(this.holder, EndpointFencing.CHECKS_TOKEN, "model-b", 50, 0);
		assertThat(order.nextAction(900)).isEqualTo(FencedOrder.Action.STOP);
		assertThat(order.outcome()).contains(FencedOrder.Outcome.LEASE_LOST);
		assertThatExceptionOfType(CodedException.class)
			.isThrownBy(() -> new FencedOrder<>(this.holder, EndpointFencing.CHECKS_TOKEN, "x", 50, 900))
			.matches((ex) -> ex.code() == ErrorCode.STALE_FENCE);
	}

	private void append(long now, LeaseRecord record) {
		long offset = this.fold.nextOffset();
		LeaseVerdict verdict = this.fold.apply(offset, record);
		this.holder.onAppended();
		this.holder.onRecord(now, record, verdict, this.fold.state(record.name()));
	}

	private void advanceTo(long end) {
		for (long now = 450; now < end; now += 100) {
			Optional<LeaseRecord> unsent = this.holder.nextRecord(now);
			unsent.ifPresent((record) -> this.holder.onAppendFailed(end));
		}
		this.holder.nextRecord(end);
	}

}
