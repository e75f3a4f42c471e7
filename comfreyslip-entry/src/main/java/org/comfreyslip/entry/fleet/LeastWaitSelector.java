package org.comfreyslip.entry.fleet;

import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.random.RandomGenerator;

import org.comfreyslip.entry.model.Endpoint;

/**
 * Chooses the endpoint of a plain service (one without model layers) with the least
 * expected wait. The wait is estimated from the requests that this daemon has open at the
 * endpoint, the measured time of a request and the recent failures.
 */
public final class LeastWaitSelector {

	/** Weight of the newest sample in the moving average of a request's time. */
	private static final double SAMPLE_WEIGHT = 0.2;

	/** Assumed time of a request before the first sample, in ms. */
	private static final double INITIAL_TIME_MS = 20;

	/**
	 * Cost added for an endpoint in another data centre, in ms. It is higher than the
	 * network delay because traffic between data centres is charged for.
	 */
	private static final double REMOTE_COST_MS = 2.5;

	/**
	 * Weight of the failure rate: at a rate of 1 the cost rises by this many times the
	 * expected wait.
	 */
	private static final double FAILURE_FACTOR = 6;

	/**
	 * Cost added for an endpoint that is avoided because of a fault, in ms. Such an
	 * endpoint is chosen only if there is no other.
	 */
	private static final double AVOIDED_COST_MS = 1e6;

	private final RandomGenerator random;

	private final EndpointFaults faults;

	private final Map<String, Integer> openRequests = new HashMap<>();

	private final Map<String, Double> meanTimeMs = new HashMap<>();

	/**
	 * Creates a selector.
	 * @param faults the faults of the endpoints
	 * @param random source of the tie-breaker, so that daemons do not all choose the same
	 * endpoint
	 */
	public LeastWaitSelector(EndpointFaults faults, RandomGenerator random) {
		this.faults = faults;
		this.random = random;
	}

	/**
	 * Chooses the endpoint for the next dispatch of a request.
	 * @param candidates the usable endpoints of the service; may be empty
	 * @param triedIds identities of the endpoints that the request was already sent to
	 * @param dataCentre the daemon's data centre
	 * @param nowNanos the current time in ns
	 * @return the endpoint; empty if every candidate has been tried
	 */
	public Optional<Endpoint> choose(List<Endpoint> candidates, Collection<String> triedIds, String dataCentre,
			long nowNanos) {
		Set<String> excluded = Set.copyOf(triedIds);
		Endpoint best = null;
		double bestCost = Double.MAX_VALUE;
		for (Endpoint endpoint : candidates) {
			double cost = cost(endpoint, dataCentre, nowNanos);
			if (!excluded.contains(endpoint.id()) && cost < bestCost) {
				best = endpoint;
				bestCost = cost;
			}
		}
		return Optional.ofNullable(best);
	}

	private double cost(Endpoint endpoint, String dataCentre, long nowNanos) {
		double time = this.meanTimeMs.getOrDefault(endpoint.id(), INITIAL_TIME_MS);
		double cost = time * (1 + this.openRequests.getOrDefault(endpoint.id(), 0))
				* (1 + FAILURE_FACTOR * this.faults.failureRate(endpoint.id()));
		if (!endpoint.dataCentre().equals(dataCentre)) {
			cost += REMOTE_COST_MS;
		}
		if (this.faults.isAvoided(endpoint.id(), nowNanos)) {
			cost += AVOIDED_COST_MS;
		}
		return cost + this.random.nextDouble();
	}

	/**
	 * Records that a request was sent to an endpoint.
	 * @param id identity of the endpoint
	 */
	public void recordDispatch(String id) {
		this.openRequests.merge(id, 1, Integer::sum);
	}

	/**
	 * Records that a request to an endpoint ended.
	 * @param id identity of the endpoint
	 * @param durationMs time from the dispatch to the response, in ms; negative if there
	 * was no response
	 */
	public void recordCompletion(String id, double durationMs) {
		this.openRequests.computeIfPresent(id, (key, count) -> (count > 1) ? count - 1 : null);
		if (durationMs >= 0) {
			this.meanTimeMs.merge(id, durationMs, (old, fresh) -> old + SAMPLE_WEIGHT * (fresh - old));
		}
	}

}
