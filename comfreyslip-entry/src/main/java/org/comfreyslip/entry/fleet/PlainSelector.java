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
 * Chooses the endpoint of a plain service: least expected wait, from the requests that
 * this daemon has open there, the measured time of a request and the recent failures.
 */
public final class PlainSelector {

	/** Weight of the newest sample in the mean time of a request. */
	private static final double TIME_WEIGHT = 0.2;

	/** Assumed time of a request before the first sample, in ms. */
	private static final double FIRST_TIME_MS = 20;

	/**
	 * Cost of another data centre, in ms of a request's time; above the delay, since
	 * bytes between data centres cost.
	 */
	private static final double REMOTE_COST_MS = 2.5;

	/** Failure rate is this many times as bad as the same share of a request's time. */
	private static final double FAILURE_FACTOR = 6;

	/**
	 * Cost of an endpoint that failed just now, in ms; it is chosen if there is no other.
	 */
	private static final double AVOIDED_COST_MS = 1e6;

	private final RandomGenerator random;

	private final EndpointFaults faults;

	private final Map<String, Integer> open = new HashMap<>();

	private final Map<String, Double> timeMs = new HashMap<>();

	/**
	 * Creates the selector.
	 * @param faults the recent failures
	 * @param random breaks ties, so that daemons do not choose alike
	 */
	public PlainSelector(EndpointFaults faults, RandomGenerator random) {
		this.faults = faults;
		this.random = random;
	}

	/**
	 * Chooses an endpoint.
	 * @param usable the endpoints of the service
	 * @param tried identities of endpoints that had the request already
	 * @param dataCentre the daemon's data centre
	 * @param nowNanos the current time in ns
	 * @return the endpoint, empty if there is none
	 */
	public Optional<Endpoint> choose(List<Endpoint> usable, Collection<String> tried, String dataCentre,
			long nowNanos) {
		Set<String> excluded = Set.copyOf(tried);
		Endpoint best = null;
		double bestCost = Double.MAX_VALUE;
		for (Endpoint endpoint : usable) {
			double cost = cost(endpoint, dataCentre, nowNanos);
			if (!excluded.contains(endpoint.id()) && cost < bestCost) {
				best = endpoint;
				bestCost = cost;
			}
		}
		return Optional.ofNullable(best);
	}

	private double cost(Endpoint endpoint, String dataCentre, long nowNanos) {
		double time = this.timeMs.getOrDefault(endpoint.id(), FIRST_TIME_MS);
		double cost = time * (1 + this.open.getOrDefault(endpoint.id(), 0))
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
	 * Records that a request was sent.
	 * @param id the endpoint
	 */
	public void onSent(String id) {
		this.open.merge(id, 1, Integer::sum);
	}

	/**
	 * Records that a request ended.
	 * @param id the endpoint
	 * @param tookMs the time until the response, in ms; negative if there was none
	 */
	public void onEnded(String id, double tookMs) {
		this.open.computeIfPresent(id, (key, count) -> (count > 1) ? count - 1 : null);
		if (tookMs >= 0) {
			this.timeMs.merge(id, tookMs, (old, fresh) -> old + TIME_WEIGHT * (fresh - old));
		}
	}

}
