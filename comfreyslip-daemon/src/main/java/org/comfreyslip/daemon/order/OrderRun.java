package org.comfreyslip.daemon.order;

import java.util.Optional;
import java.util.concurrent.CompletionException;
import java.util.concurrent.TimeUnit;
import java.util.function.LongSupplier;

import org.comfreyslip.clients.engine.EngineClient;
import org.comfreyslip.clients.engine.EngineOrder;
import org.comfreyslip.clients.engine.EngineState;
import org.comfreyslip.clients.weights.RateLease;
import org.comfreyslip.clients.weights.WeightStoreClient;
import org.comfreyslip.coordination.CodedException;
import org.comfreyslip.coordination.ErrorCode;
import org.comfreyslip.coordination.lease.EndpointFencing;
import org.comfreyslip.coordination.lease.FencedOrder;

/**
 * Drives one order: asks the weight store first, then follows the gate. Thread-safe; the
 * gate is asked under the lock of the lease.
 */
final class OrderRun {

	/** Time within which an engine carries an order out or never does. */
	static final long ORDER_LIMIT_NANOS = TimeUnit.SECONDS.toNanos(30);

	private static final long RETRY_MILLIS = 1_000;

	private final OrderGoal goal;

	private final EndpointFencing endpoint;

	private final EngineClient engine;

	private final WeightStoreClient weights;

	private final MaintenanceLease lease;

	private final LongSupplier clock;

	private FencedOrder<Boolean> gate;

	private boolean asking;

	private long askAt;

	OrderRun(OrderGoal goal, EndpointFencing endpoint, EngineClient engine, WeightStoreClient weights,
			MaintenanceLease lease, LongSupplier clock) {
		this.goal = goal;
		this.endpoint = endpoint;
		this.engine = engine;
		this.weights = weights;
		this.lease = lease;
		this.clock = clock;
		this.askAt = clock.getAsLong();
	}

	OrderGoal goal() {
		return this.goal;
	}

	Optional<FencedOrder.Outcome> outcome() {
		return this.lease.with((held) -> (this.gate != null) ? this.gate.outcome() : Optional.empty());
	}

	/**
	 * Does what is due.
	 * @param holder the name under which the weight store grants rate
	 */
	void step(String holder) {
		if (this.lease.with((held) -> isGrantDue())) {
			this.weights.lease(holder, this.goal.bytes()).whenComplete(this::onGrant);
			return;
		}
		switch (this.lease.with((held) -> nextAction())) {
			case READ_STATE -> this.engine.state().whenComplete(this::onState);
			case SEND_ORDER -> this.engine.order(message()).whenComplete(this::onOrder);
			default -> {
				// Nothing is due.
			}
		}
	}

	private boolean isGrantDue() {
		boolean due = this.gate == null && !this.asking && this.clock.getAsLong() - this.askAt >= 0;
		this.asking = this.asking || due;
		return due;
	}

	private FencedOrder.Action nextAction() {
		return (this.gate != null) ? this.gate.nextAction(this.clock.getAsLong()) : FencedOrder.Action.WAIT;
	}

	private EngineOrder message() {
		return this.goal.message(this.lease.with((held) -> this.gate.fencingToken()));
	}

	private void onGrant(RateLease granted, Throwable failure) {
		this.lease.with((held) -> {
			long now = this.clock.getAsLong();
			this.asking = false;
			if (failure == null && granted.granted() && held.isValid(now)) {
				this.gate = new FencedOrder<>(held, this.endpoint, Boolean.TRUE, ORDER_LIMIT_NANOS, now);
				return null;
			}
			// While the weight store is down or its rate is used up the order waits.
			long wait = (failure != null) ? RETRY_MILLIS : Math.max(granted.retryAfterMillis(), RETRY_MILLIS);
			this.askAt = now + TimeUnit.MILLISECONDS.toNanos(wait);
			return null;
		});
	}

	private void onState(EngineState state, Throwable failure) {
		this.lease.with((held) -> {
			if (failure != null) {
				this.gate.onStateReadFailed(this.clock.getAsLong());
			}
			else {
				this.gate.onStateRead(this.goal.isReachedBy(state));
			}
			return null;
		});
	}

	private void onOrder(EngineState state, Throwable failure) {
		this.lease.with((held) -> {
			if (failure == null) {
				this.gate.onOrderExecuted();
			}
			else if (isFenced(failure)) {
				this.gate.onStaleFencingToken();
			}
			else {
				this.gate.onOrderOutcomeUnknown(this.clock.getAsLong());
			}
			return null;
		});
	}

	private static boolean isFenced(Throwable failure) {
		Throwable cause = (failure instanceof CompletionException) ? failure.getCause() : failure;
		return cause instanceof CodedException coded && coded.code() == ErrorCode.STALE_FENCE;
	}

}
