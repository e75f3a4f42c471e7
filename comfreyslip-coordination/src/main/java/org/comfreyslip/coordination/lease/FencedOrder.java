package org.comfreyslip.coordination.lease;

import java.util.Optional;

import org.comfreyslip.coordination.CodedException;
import org.comfreyslip.coordination.ErrorCode;
import org.comfreyslip.coordination.Invariant;

/**
 * State machine of one order to an endpoint, which names the desired end state. The order
 * is sent only under a valid lease, and always with the fencing token under which it was
 * created. For an endpoint that ignores the token, the order waits for the time limit of
 * an earlier lease holder's orders, so that none of them can take effect later. The
 * endpoint's state is then read before the order, which is not sent if the state is
 * reached already, and read again after it. Not thread-safe.
 *
 * @param <S> type of the endpoint's state
 */
public final class FencedOrder<S> {

	private static final int MAX_SENDS = 3;

	private final LeaseHolder lease;

	private final EndpointFencing endpointFencing;

	private final S desiredState;

	private final long timeLimitNanos;

	private final long fencingToken;

	private Phase phase;

	private long notBeforeNanos;

	private boolean callInFlight;

	private int sendCount;

	private Outcome outcome;

	/**
	 * Creates an order.
	 * @param lease the lease under which the order is sent
	 * @param endpointFencing whether the endpoint checks the fencing token
	 * @param desiredState the desired end state, compared by {@code equals}
	 * @param timeLimitNanos time after a send within which the order takes effect or
	 * never does, in nanoseconds
	 * @param nowNanos monotonic time in nanoseconds
	 * @throws CodedException with {@link ErrorCode#STALE_FENCE} if the lease is not valid
	 */
	public FencedOrder(LeaseHolder lease, EndpointFencing endpointFencing, S desiredState, long timeLimitNanos,
			long nowNanos) {
		this.lease = lease;
		this.endpointFencing = endpointFencing;
		this.desiredState = desiredState;
		this.timeLimitNanos = timeLimitNanos;
		this.fencingToken = lease.fencingToken(nowNanos);
		this.notBeforeNanos = endpointFencing.earliestOrderNanos(lease.heldSinceNanos(), timeLimitNanos);
		this.phase = endpointFencing.needsStateReads() ? Phase.READ_BEFORE : Phase.SEND;
	}

	/**
	 * Advances the time and returns what the caller has to do now.
	 * @param nowNanos monotonic time in nanoseconds
	 * @return the action; the caller reports the result of a read or send
	 */
	public Action nextAction(long nowNanos) {
		if (this.outcome == null && !isLeaseUnchanged(nowNanos)) {
			finish(Outcome.LEASE_LOST);
		}
		if (this.outcome != null) {
			return Action.STOP;
		}
		if (this.callInFlight || nowNanos - this.notBeforeNanos < 0) {
			return Action.WAIT;
		}
		this.callInFlight = true;
		return startNextAction();
	}

	/**
	 * Returns the fencing token that the order carries.
	 * @return the token of the lease at the time at which this order was created
	 */
	public long fencingToken() {
		return this.fencingToken;
	}

	/**
	 * Returns the desired end state, the content of the order.
	 * @return the state passed to the constructor
	 */
	public S desiredState() {
		return this.desiredState;
	}

	/**
	 * Returns the outcome.
	 * @return the outcome, empty while the order is in progress
	 */
	public Optional<Outcome> outcome() {
		return Optional.ofNullable(this.outcome);
	}

	/**
	 * Processes the endpoint's state after a read.
	 * @param state the state that the endpoint returned
	 */
	public void onStateRead(S state) {
		Invariant.check(this.phase != Phase.SEND, "the endpoint's state was reported while the order is in progress");
		this.callInFlight = false;
		if (this.desiredState.equals(state)) {
			finish((this.sendCount == 0) ? Outcome.ALREADY_REACHED : Outcome.REACHED);
			return;
		}
		if (this.sendCount == MAX_SENDS) {
			finish(Outcome.NOT_REACHED);
			return;
		}
		this.phase = Phase.SEND;
	}

	/**
	 * Records that the endpoint executed the order.
	 */
	public void onOrderExecuted() {
		endSend();
		if (this.endpointFencing.needsStateReads()) {
			this.phase = Phase.READ_AFTER;
			return;
		}
		finish(Outcome.REACHED);
	}

	/**
	 * Records that the endpoint refused the order, because it has seen a higher fencing
	 * token.
	 */
	public void onStaleToken() {
		endSend();
		finish(Outcome.LEASE_LOST);
	}

	/**
	 * Records that the order has no result. It may take effect until its time limit, so
	 * that the state is read only after that.
	 * @param nowNanos monotonic time in nanoseconds
	 */
	public void onOrderOutcomeUnknown(long nowNanos) {
		endSend();
		this.notBeforeNanos = nowNanos + this.timeLimitNanos;
		this.phase = Phase.READ_AFTER;
	}

	/**
	 * Records that the endpoint's state could not be read. The read is repeated after the
	 * time limit.
	 * @param nowNanos monotonic time in nanoseconds
	 */
	public void onStateReadFailed(long nowNanos) {
		this.callInFlight = false;
		this.notBeforeNanos = nowNanos + this.timeLimitNanos;
	}

	private boolean isLeaseUnchanged(long nowNanos) {
		return this.lease.isValid(nowNanos) && this.lease.fencingToken(nowNanos) == this.fencingToken;
	}

	private Action startNextAction() {
		if (this.phase != Phase.SEND) {
			return Action.READ_STATE;
		}
		this.sendCount++;
		return Action.SEND_ORDER;
	}

	private void endSend() {
		Invariant.check(this.phase == Phase.SEND && this.callInFlight,
				"the result of an order was reported that was not sent");
		this.callInFlight = false;
	}

	private void finish(Outcome result) {
		this.outcome = result;
	}

	private enum Phase {

		READ_BEFORE, SEND, READ_AFTER

	}

	/** What the caller does next. */
	public enum Action {

		/** Nothing yet; call again later. */
		WAIT,

		/** Read the endpoint's state. */
		READ_STATE,

		/** Send the desired state with the fencing token. */
		SEND_ORDER,

		/** Nothing; the order has ended. */
		STOP

	}

	/** Outcome of an order. The names are logged. */
	public enum Outcome {

		/** The endpoint had the desired state before the order was sent. */
		ALREADY_REACHED,

		/** The endpoint has the desired state after the order. */
		REACHED,

		/**
		 * The endpoint still has another state after the maximum number of sends.
		 */
		NOT_REACHED,

		/**
		 * The lease is no longer valid, or the endpoint has seen a higher fencing token.
		 * An order that was sent may still take effect.
		 */
		LEASE_LOST

	}

}
