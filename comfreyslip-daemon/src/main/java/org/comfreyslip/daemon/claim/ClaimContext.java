package org.comfreyslip.daemon.claim;

import java.util.concurrent.ScheduledExecutorService;
import java.util.function.LongSupplier;

import org.comfreyslip.coordination.claim.IdempotencyKeyPolicy;
import org.comfreyslip.daemon.route.RoutingTables;

/**
 * Collaborators that all protected calls of a daemon share.
 *
 * @param claimLog reads the claim streams and appends to them
 * @param policy how long idempotency keys are valid
 * @param tables selects endpoints and records the outcomes of calls
 * @param serviceCalls sends calls to plain services
 * @param timer schedules deadlines and waits
 * @param metrics counts unknown outcomes and invariant violations
 * @param clock the monotonic clock, in ns
 * @param epochClock the wall clock, in ms since the epoch
 */
record ClaimContext(ClaimLog claimLog, IdempotencyKeyPolicy policy, RoutingTables tables, ServiceCalls serviceCalls,
		ScheduledExecutorService timer, ClaimMetrics metrics, LongSupplier clock, LongSupplier epochClock) {
}
