package org.comfreyslip.daemon.claim;

import java.util.concurrent.ScheduledExecutorService;
import java.util.function.LongSupplier;

import org.comfreyslip.coordination.claim.IdempotencyKeyPolicy;
import org.comfreyslip.daemon.route.RoutingTables;

/**
 * What all protected calls of a daemon share.
 *
 * @param log the claim streams
 * @param policy the window of idempotency keys
 * @param tables the endpoint table
 * @param calls the calls to plain services
 * @param timer runs the deadlines
 * @param metrics the counters
 * @param clock the monotonic clock, in ns
 * @param epochClock the wall clock, in ms since the epoch
 */
record ClaimContext(ClaimLog log, IdempotencyKeyPolicy policy, RoutingTables tables, ServiceCalls calls,
		ScheduledExecutorService timer, ClaimMetrics metrics, LongSupplier clock, LongSupplier epochClock) {
}
