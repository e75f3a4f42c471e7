package org.comfreyslip.daemon.claim;

import java.util.UUID;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ScheduledExecutorService;
import java.util.function.LongSupplier;

import org.comfreyslip.clients.HttpTransport;
import org.comfreyslip.clients.service.ServiceCall;
import org.comfreyslip.coordination.claim.ClaimKey;
import org.comfreyslip.coordination.claim.ClaimResult;
import org.comfreyslip.coordination.claim.IdempotencyKeyPolicy;
import org.comfreyslip.coordination.claim.ProtectedRequest;
import org.comfreyslip.coordination.digest.Sha256;
import org.comfreyslip.daemon.journal.RequestEntry;
import org.comfreyslip.daemon.route.RoutingTables;
import org.comfreyslip.routing.topology.ServiceSpec;

/**
 * Starts protected calls of plain services and looks up their outcomes.
 */
public final class ProtectedCallService {

	private static final long NANOS_PER_MILLI = 1_000_000L;

	/**
	 * Longest time from the claim of a call to its dispatch, in milliseconds. It covers
	 * an append with several retries.
	 */
	private static final long MAX_SEND_DELAY_MILLIS = 10_000;

	private final ClaimContext context;

	private final String daemon;

	/**
	 * Creates the service.
	 * @param daemon the name of this daemon, which its claims carry
	 * @param claimLog reads the claim streams and appends to them
	 * @param policy how long idempotency keys are valid
	 * @param tables selects endpoints and records the outcomes of calls
	 * @param http the HTTP client for calls to services
	 * @param timer schedules deadlines and waits
	 * @param metrics counts unknown outcomes and invariant violations
	 * @param clock the monotonic clock, in ns
	 * @param epochClock the wall clock, in ms since the epoch
	 */
	public ProtectedCallService(String daemon, ClaimLog claimLog, IdempotencyKeyPolicy policy, RoutingTables tables,
			HttpTransport http, ScheduledExecutorService timer, ClaimMetrics metrics, LongSupplier clock,
			LongSupplier epochClock) {
		this.daemon = daemon;
		this.context = new ClaimContext(claimLog, policy, tables, new ServiceCalls(http), timer, metrics, clock,
				epochClock);
	}

	/**
	 * Starts a protected call.
	 * @param key the key that is claimed before the call is sent
	 * @param service the service to call
	 * @param call the HTTP request to send to the service
	 * @param deadlineNanos the monotonic time after which the client no longer waits, in
	 * ns
	 * @param entry the journal entry of the request, which takes notes
	 * @return the result: done, not run or unknown
	 */
	public CompletableFuture<ClaimResult> start(ClaimKey key, ServiceSpec service, ServiceCall call, long deadlineNanos,
			RequestEntry entry) {
		byte[] body = (call.body() != null) ? call.body() : new byte[0];
		String digest = Sha256.ofFields(call.method(), call.path(), Sha256.ofBytes(body));
		long nowNanos = this.context.clock().getAsLong();
		long sendByNanos = Math.min(deadlineNanos, nowNanos + MAX_SEND_DELAY_MILLIS * NANOS_PER_MILLI);
		long sendByEpochMillis = this.context.epochClock().getAsLong() + (sendByNanos - nowNanos) / NANOS_PER_MILLI;
		String lookupPath = "/v1/outcomes/" + service.name() + "/" + key.key();
		ProtectedRequest request = new ProtectedRequest(key, UUID.randomUUID().toString(), this.daemon, digest,
				sendByNanos, sendByEpochMillis, lookupPath, service.lookup().isPresent(), service.enforcesSendBy());
		return new ProtectedCallDriver(request, service, call, this.context, entry).start(deadlineNanos);
	}

	/**
	 * Finds the outcome of a key, first in the claim streams and then at the service.
	 * @param key the claimed key
	 * @param service the service that the key was used for
	 * @return what is known about the outcome; the future does not fail if the service
	 * cannot be queried
	 */
	public CompletableFuture<OutcomeView> findOutcome(ClaimKey key, ServiceSpec service) {
		return new OutcomeLookup(this.context).find(key, service);
	}

}
