package org.comfreyslip.entry.http;

import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Set;
import java.util.random.RandomGenerator;

import io.netty.handler.codec.http.DefaultFullHttpResponse;
import io.netty.handler.codec.http.HttpResponseStatus;
import org.comfreyslip.entry.EntryMetrics;
import org.comfreyslip.entry.blame.CrashBlame;
import org.comfreyslip.entry.fleet.EndpointLimits;
import org.comfreyslip.entry.model.Endpoint;

/**
 * Decides the causes of refusals and the times after which refused callers may retry.
 */
final class Refusals {

	/**
	 * Least time after which a caller may retry when capacity is missing, in ms: a
	 * fraction of the duration of a stream.
	 */
	private static final long CAPACITY_RETRY_MS = 500;

	private final TargetSelector targets;

	private final EndpointLimits limits;

	private final CrashBlame crashBlame;

	private final RequestLog log;

	private final RandomGenerator random;

	/**
	 * Creates the decisions on refusals.
	 * @param targets knows the endpoints that could receive a request
	 * @param limits the request rates that endpoints state as their limits
	 * @param crashBlame what is known of requests that crash endpoints
	 * @param log counts the requests that are refused as crashing
	 * @param random source of random numbers
	 */
	Refusals(TargetSelector targets, EndpointLimits limits, CrashBlame crashBlame, RequestLog log,
			RandomGenerator random) {
		this.targets = targets;
		this.limits = limits;
		this.crashBlame = crashBlame;
		this.log = log;
		this.random = random;
	}

	/**
	 * Returns the refusal while the API keys are stale.
	 * @param retryMs time after which the caller may retry, in ms
	 * @return the refusal
	 */
	Refusal ofStaleKeys(long retryMs) {
		return Refusal.of(RefusalCause.STALE_KEYS, retryMs);
	}

	/**
	 * Returns the refusal of a request that comes too late in the shutdown. The caller
	 * may turn to another daemon at once.
	 * @return the refusal
	 */
	Refusal ofStopping() {
		return Refusal.of(RefusalCause.STOPPING, 0);
	}

	/**
	 * Returns the refusal of a request that would crash the next endpoint, too.
	 * @param traits what other requests that crash endpoints may have in common with it
	 * @param nowNanos the current steady time in ns
	 * @return the refusal; empty if the request may be sent
	 */
	Optional<Refusal> ofCrashing(Set<String> traits, long nowNanos) {
		OptionalLong refusalMs = this.crashBlame.refusalMs(traits, nowNanos);
		if (refusalMs.isEmpty()) {
			return Optional.empty();
		}
		this.log.count(EntryMetrics.Count.REFUSED_AS_CRASHING);
		return Optional.of(Refusal.of(RefusalCause.CRASHING, refusalMs.getAsLong()));
	}

	/**
	 * Returns the refusal of a request that has no target.
	 * @param query the request and its sends so far
	 * @param choice the choice that gave no target
	 * @param nowNanos the current steady time in ns
	 * @return the refusal
	 */
	Refusal ofNoTarget(TargetQuery query, TargetChoice choice, long nowNanos) {
		if (!choice.reachable()) {
			return Refusal.of(RefusalCause.OUT_OF_REACH, capacityRetryMs());
		}
		List<Endpoint> heldBack = choice.heldBack();
		if (heldBack.isEmpty()) {
			return Refusal.of(RefusalCause.NO_ENDPOINT, capacityRetryMs());
		}
		boolean allHeldBack = heldBack.size() == this.targets.receivingEndpoints(query, nowNanos).size();
		return Refusal.of(RefusalCause.NO_ENDPOINT_WITHIN_LIMIT,
				(allHeldBack) ? this.limits.retryAfterMs(heldBack, this.random, nowNanos) : capacityRetryMs());
	}

	/**
	 * Returns the refusal of a request that endpoints have refused.
	 * @param status status of the last endpoint's response
	 * @return the refusal
	 */
	Refusal ofEndpointRefusal(int status) {
		RefusalCause cause = RefusalCause.REFUSED_BY_ENDPOINT;
		return new Refusal(cause, cause.reason() + " with " + status, capacityRetryMs());
	}

	/**
	 * Returns the response to a request whose sends have failed.
	 * @param outcomeUnknown whether an endpoint may have run it
	 * @return a response that says that it has not run, or promises nothing
	 */
	DefaultFullHttpResponse ofFailure(boolean outcomeUnknown) {
		return (outcomeUnknown) ? OwnResponses.create(HttpResponseStatus.BAD_GATEWAY, "the endpoint failed", -1)
				: OwnResponses.create(HttpResponseStatus.SERVICE_UNAVAILABLE, "the endpoint failed", capacityRetryMs());
	}

	/**
	 * Draws the time after which a caller may retry while capacity is missing.
	 * @return a time between {@link #CAPACITY_RETRY_MS} and twice as long, in ms
	 */
	long capacityRetryMs() {
		return CAPACITY_RETRY_MS + (long) (this.random.nextDouble() * CAPACITY_RETRY_MS);
	}

}
