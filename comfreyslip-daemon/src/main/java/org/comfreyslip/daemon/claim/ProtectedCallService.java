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
 * Starts protected calls.
 */
public final class ProtectedCallService {

	private static final long NANOS_PER_MILLI = 1_000_000L;

	/**
	 * Time within which a call has to leave after its claim, in ms. It covers an append
	 * with several retries.
	 */
	private static final long SEND_BY_MILLIS = 10_000;

	private final ClaimContext context;

	private final String daemon;

	/**
	 * Creates the service.
	 * @param daemon the daemon's name
	 * @param log the claim streams
	 * @param policy the window of idempotency keys
	 * @param tables the endpoint table
	 * @param http the HTTP client
	 * @param timer runs the deadlines
	 * @param metrics the counters
	 * @param clock the monotonic clock, in ns
	 * @param epochClock the wall clock, in ms since the epoch
	 */
	public ProtectedCallService(String daemon, ClaimLog log, IdempotencyKeyPolicy policy, RoutingTables tables,
			HttpTransport http, ScheduledExecutorService timer, ClaimMetrics metrics, LongSupplier clock,
			LongSupplier epochClock) {
		this.daemon = daemon;
		this.context = new ClaimContext(log, policy, tables, new ServiceCalls(http), timer, metrics, clock, epochClock);
	}

	/**
	 * Starts a protected call.
	 * @param key what is claimed
	 * @param service the service
	 * @param call the call
	 * @param deadline the time at which the caller no longer waits, in monotonic ns
	 * @param entry the request's record
	 * @return the result: done, not run or unknown
	 */
	public CompletableFuture<ClaimResult> start(ClaimKey key, ServiceSpec service, ServiceCall call, long deadline,
			RequestEntry entry) {
		byte[] body = (call.body() != null) ? call.body() : new byte[0];
		String digest = Sha256.ofFields(call.method(), call.path(), Sha256.ofBytes(body));
		long now = this.context.clock().getAsLong();
		long sendBy = Math.min(deadline, now + SEND_BY_MILLIS * NANOS_PER_MILLI);
		long sendByEpoch = this.context.epochClock().getAsLong() + (sendBy - now) / NANOS_PER_MILLI;
		String lookupPath = "/v1/outcomes/" + service.name() + "/" + key.key();
		ProtectedRequest request = new ProtectedRequest(key, UUID.randomUUID().toString(), this.daemon, digest, sendBy,
				sendByEpoch, lookupPath, service.lookup().isPresent(), service.enforcesSendBy());
		return new ProtectedCallDriver(request, service, call, this.context, entry).start(deadline);
	}

	/**
	 * Looks the outcome of a key up: first in the claims, then at the service.
	 * @param key the key
	 * @param service the service
	 * @return the outcome
	 */
	public CompletableFuture<OutcomeView> outcome(ClaimKey key, ServiceSpec service) {
		return new OutcomeLookup(this.context).find(key, service);
	}

}
