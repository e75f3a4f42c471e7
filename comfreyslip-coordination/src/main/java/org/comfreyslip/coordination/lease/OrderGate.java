package org.comfreyslip.coordination.lease;

import java.util.Optional;

import org.comfreyslip.coordination.CodedException;
import org.comfreyslip.coordination.ErrorCode;
import org.comfreyslip.coordination.Invariant;

/**
 * State machine of one order, which states a desired end state. It lets the order through
 * only under a valid lease, and always with the fencing number under which the order was
 * begun. For an endpoint that ignores the number it waits for the time limit of an
 * earlier holder's orders, reads the endpoint's state before the order and leaves the
 * order out when the state is already reached, and reads the state again after it. Not
 * thread-safe.
 *
 * @param <S> type of the endpoint's state
 */
public final class OrderGate<S> {

	private static final int MAX_ORDERS = 3;

	private final LeaseHolder lease;

	private final OrderEndpoint endpoint;

	private final S desired;

	private final long timeLimit;

	private final long fence;

	private Phase phase;

	private long notBefore;

	private boolean inFlight;

	private int orders;

	private Outcome outcome;

	/**
	 * Begins an order.
	 * @param lease the lease under which the order is given
	 * @param endpoint how the endpoint treats the fencing number
	 * @param desired the desired end state
	 * @param timeLimit time within which an order takes effect or never does, in
	 * nanoseconds
	 * @param now the current time
	 * @throws CodedException with {@link ErrorCode#STALE_FENCE} if the lease is not valid
	 */
	public OrderGate(LeaseHolder lease, OrderEndpoint endpoint, S desired, long timeLimit, long now) {
		this.lease = lease;
		this.endpoint = endpoint;
		this.desired = desired;
		this.timeLimit = timeLimit;
		this.fence = lease.fence(now);
		this.notBefore = endpoint.earliestOrder(lease.heldSince(), timeLimit);
		this.phase = endpoint.needsStateReads() ? Phase.READ_BEFORE : Phase.ORDER;
	}

	/**
	 * Returns what to do now.
	 * @param now the current time
	 * @return the action
	 */
	public Action next(long now) {
		if (this.outcome == null && !isLeaseUnchanged(now)) {
			finish(Outcome.LEASE_LOST);
		}
		if (this.outcome != null) {
			return Action.STOP;
		}
		if (this.inFlight || now - this.notBefore < 0) {
			return Action.WAIT;
		}
		this.inFlight = true;
		return begin();
	}

	/**
	 * Returns the fencing number that the order carries.
	 * @return the number
	 */
	public long fence() {
		return this.fence;
	}

	/**
	 * Returns the desired end state.
	 * @return the state
	 */
	public S desired() {
		return this.desired;
	}

	/**
	 * Returns the outcome.
	 * @return the outcome, empty while the order is in progress
	 */
	public Optional<Outcome> outcome() {
		return Optional.ofNullable(this.outcome);
	}

	/**
	 * The endpoint's state was read.
	 * @param state the state
	 */
	public void onState(S state) {
		Invariant.check(this.phase != Phase.ORDER, "the endpoint's state was reported while the order is in progress");
		this.inFlight = false;
		if (this.desired.equals(state)) {
			finish((this.orders == 0) ? Outcome.ALREADY_REACHED : Outcome.REACHED);
			return;
		}
		if (this.orders == MAX_ORDERS) {
			finish(Outcome.NOT_REACHED);
			return;
		}
		this.phase = Phase.ORDER;
	}

	/**
	 * The endpoint executed the order.
	 */
	public void onOrderDone() {
		endOrder();
		if (this.endpoint.needsStateReads()) {
			this.phase = Phase.READ_AFTER;
			return;
		}
		finish(Outcome.REACHED);
	}

	/**
	 * The endpoint has seen a higher fencing number.
	 */
	public void onOrderFenced() {
		endOrder();
		finish(Outcome.LEASE_LOST);
	}

	/**
	 * The order had no answer. It may take effect until its time limit.
	 * @param now the current time
	 */
	public void onOrderUnknown(long now) {
		endOrder();
		this.notBefore = now + this.timeLimit;
		this.phase = Phase.READ_AFTER;
	}

	/**
	 * The endpoint's state could not be read.
	 * @param now the current time
	 */
	public void onStateUnknown(long now) {
		this.inFlight = false;
		this.notBefore = now + this.timeLimit;
	}

	private boolean isLeaseUnchanged(long now) {
		return this.lease.isValid(now) && this.lease.fence(now) == this.fence;
	}

	private Action begin() {
		if (this.phase != Phase.ORDER) {
			return Action.READ_STATE;
		}
		this.orders++;
		return Action.SEND_ORDER;
	}

	private void endOrder() {
		Invariant.check(this.phase == Phase.ORDER && this.inFlight, "an order was answered that was not sent");
		this.inFlight = false;
	}

	private void finish(Outcome reached) {
		this.outcome = reached;
	}

	private enum Phase {

		READ_BEFORE, ORDER, READ_AFTER

	}

	/** What the caller does next. */
	public enum Action {

		/** Nothing yet. */
		WAIT,

		/** Read the endpoint's state. */
		READ_STATE,

		/** Send the desired state with the fencing number. */
		SEND_ORDER,

		/** Nothing; the outcome is known. */
		STOP

	}

	/** Outcome of an order. */
	public enum Outcome {

		/** The endpoint had the desired state before any order. */
		ALREADY_REACHED,

		/** The endpoint has the desired state. */
		REACHED,

		/** The endpoint executed orders but has another state. */
		NOT_REACHED,

		/** The lease is no longer valid. An order that was sent may take effect. */
		LEASE_LOST

	}

}
