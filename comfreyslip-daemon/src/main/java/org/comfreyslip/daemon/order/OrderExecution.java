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
 * Executes one order: requests rate from the weight store first, then performs the
 * actions of a {@link FencedOrder}, which is used only under the lock of the lease.
 * Thread-safe.
 */
final class OrderExecution {

	/** Time in nanoseconds after which an engine no longer executes an order. */
	static final long MAX_EXECUTION_NANOS = TimeUnit.SECONDS.toNanos(30);

	private static final long RETRY_MILLIS = 1_000;

	private final OrderGoal goal;

	private final EndpointFencing endpoint;

	private final EngineClient engine;

	private final WeightStoreClient weights;

	private final MaintenanceLease lease;

	private final LongSupplier clock;

	private FencedOrder<Boolean> fencedOrder;

	private boolean grantRequestOpen;

	private long nextGrantRequestNanos;

	OrderExecution(OrderGoal goal, EndpointFencing endpoint, EngineClient engine, WeightStoreClient weights,
			MaintenanceLease lease, LongSupplier clock) {
		this.goal = goal;
		this.endpoint = endpoint;
		this.engine = engine;
		this.weights = weights;
		this.lease = lease;
		this.clock = clock;
		this.nextGrantRequestNanos = clock.getAsLong();
	}

	OrderGoal goal() {
		return this.goal;
	}

	Optional<FencedOrder.Outcome> outcome() {
		return this.lease
			.withLock((held) -> (this.fencedOrder != null) ? this.fencedOrder.outcome() : Optional.empty());
	}

	/**
	 * Performs the action that is due, if any.
	 * @param holder the name under which rate is requested from the weight store
	 */
	void performNextAction(String holder) {
		if (this.lease.withLock((held) -> startGrantRequestIfDue())) {
			this.weights.lease(holder, this.goal.weightBytes()).whenComplete(this::onGrantReply);
			return;
		}
		switch (this.lease.withLock((held) -> nextAction())) {
			case READ_STATE -> this.engine.state().whenComplete(this::onStateReply);
			case SEND_ORDER -> this.engine.order(engineOrder()).whenComplete(this::onOrderReply);
			default -> {
				// Nothing is due.
			}
		}
	}

	private boolean startGrantRequestIfDue() {
		boolean due = this.fencedOrder == null && !this.grantRequestOpen
				&& this.clock.getAsLong() - this.nextGrantRequestNanos >= 0;
		this.grantRequestOpen = this.grantRequestOpen || due;
		return due;
	}

	private FencedOrder.Action nextAction() {
		return (this.fencedOrder != null) ? this.fencedOrder.nextAction(this.clock.getAsLong())
				: FencedOrder.Action.WAIT;
	}

	private EngineOrder engineOrder() {
		return this.goal.toEngineOrder(this.lease.withLock((held) -> this.fencedOrder.fencingToken()));
	}

	private void onGrantReply(RateLease granted, Throwable failure) {
		this.lease.withLock((held) -> {
			long now = this.clock.getAsLong();
			this.grantRequestOpen = false;
			if (failure == null && granted.granted() && held.isValid(now)) {
				this.fencedOrder = new FencedOrder<>(held, this.endpoint, Boolean.TRUE, MAX_EXECUTION_NANOS, now);
				return null;
			}
			// The order waits while the weight store is down or its rate is used up.
			long waitMillis = (failure != null) ? RETRY_MILLIS : Math.max(granted.retryAfterMillis(), RETRY_MILLIS);
			this.nextGrantRequestNanos = now + TimeUnit.MILLISECONDS.toNanos(waitMillis);
			return null;
		});
	}

	private void onStateReply(EngineState state, Throwable failure) {
		this.lease.withLock((held) -> {
			if (failure != null) {
				this.fencedOrder.onStateReadFailed(this.clock.getAsLong());
			}
			else {
				this.fencedOrder.onStateRead(this.goal.isReachedBy(state));
			}
			return null;
		});
	}

	private void onOrderReply(EngineState state, Throwable failure) {
		this.lease.withLock((held) -> {
			if (failure == null) {
				this.fencedOrder.onOrderExecuted();
			}
			else if (isStaleToken(failure)) {
				this.fencedOrder.onStaleToken();
			}
			else {
				this.fencedOrder.onOrderOutcomeUnknown(this.clock.getAsLong());
			}
			return null;
		});
	}

	private static boolean isStaleToken(Throwable failure) {
		Throwable cause = (failure instanceof CompletionException) ? failure.getCause() : failure;
		return cause instanceof CodedException coded && coded.code() == ErrorCode.STALE_FENCE;
	}

}
