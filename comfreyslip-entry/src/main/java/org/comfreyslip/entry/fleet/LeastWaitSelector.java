package org.comfreyslip.entry.fleet;

import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import java.util.random.RandomGenerator;

import org.comfreyslip.entry.model.Endpoint;

/**
 * Chooses the endpoint of a plain service (one without model layers) for each send, so
 * that the sends of all daemons together take the least expected time. It addresses
 * endpoints of different speeds before many daemons that know each other's loads only
 * with a delay. A random choice by planned shares keeps daemons with the same old reports
 * from choosing the same endpoint.
 */
public final class LeastWaitSelector {

	private final RandomGenerator random;

	private final EndpointFaults faults;

	private final PlainLoads loads;

	private final EndpointSpeeds speeds;

	/** The shares in force by service. */
	private final Map<String, PlainShares> shares = new HashMap<>();

	/**
	 * Creates a selector.
	 * @param faults the faults of the endpoints
	 * @param loads the requests of all daemons at the endpoints
	 * @param random source of random numbers, which must differ between daemons
	 */
	public LeastWaitSelector(EndpointFaults faults, PlainLoads loads, RandomGenerator random) {
		this.faults = faults;
		this.loads = loads;
		this.random = random;
		this.speeds = new EndpointSpeeds(loads);
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
		if (candidates.isEmpty()) {
			return Optional.empty();
		}
		String service = candidates.get(0).service();
		PlainShares plan = this.shares.get(service);
		if (plan == null || !plan.isCurrent(candidates, nowNanos)) {
			plan = PlainShares.plan(candidates, dataCentre, this.speeds, this.faults, nowNanos);
			this.shares.put(service, plan);
		}
		double[] weights = new double[candidates.size()];
		double sum = weigh(plan, candidates, triedIds, false, weights, nowNanos);
		if (sum <= 0) {
			// All others are avoided because of faults.
			sum = weigh(plan, candidates, triedIds, true, weights, nowNanos);
		}
		if (sum <= 0) {
			return Optional.empty();
		}
		return Optional.of(candidates.get(draw(weights, sum)));
	}

	private double weigh(PlainShares plan, List<Endpoint> candidates, Collection<String> triedIds, boolean avoided,
			double[] weights, long nowNanos) {
		double sum = 0;
		for (int index = 0; index < weights.length; index++) {
			String id = candidates.get(index).id();
			boolean usable = !triedIds.contains(id) && (avoided || !this.faults.isAvoided(id, nowNanos));
			weights[index] = (usable) ? plan.share(index) : 0;
			sum += weights[index];
		}
		return sum;
	}

	private int draw(double[] weights, double sum) {
		double point = this.random.nextDouble() * sum;
		int last = 0;
		for (int index = 0; index < weights.length; index++) {
			if (weights[index] > 0) {
				last = index;
				point -= weights[index];
				if (point < 0) {
					return index;
				}
			}
		}
		return last;
	}

	/**
	 * Records that a request was sent to an endpoint.
	 * @param id identity of the endpoint
	 * @param nowNanos the current time in ns
	 */
	public void recordDispatch(String id, long nowNanos) {
		this.loads.recordDispatch(id, nowNanos);
	}

	/**
	 * Records that a request to an endpoint ended.
	 * @param id identity of the endpoint
	 * @param sentAtNanos when it was sent, in ns
	 * @param durationMs time from the dispatch to the response, in ms; negative if there
	 * was no response, or one that reports a failure
	 * @param nowNanos the current time in ns
	 */
	public void recordCompletion(String id, long sentAtNanos, double durationMs, long nowNanos) {
		this.loads.recordEnd(id, sentAtNanos, durationMs, nowNanos);
	}

	/**
	 * Records that an endpoint failed or refused a request.
	 * @param id identity of the endpoint
	 * @param nowNanos the current time in ns
	 */
	public void recordFailure(String id, long nowNanos) {
		this.loads.recordFailure(id, nowNanos);
	}

	/**
	 * Forgets plans of services without endpoints, and the speeds of endpoints that have
	 * left. Called periodically.
	 * @param nowNanos the current time in ns
	 */
	public void removeExpired(long nowNanos) {
		this.shares.values().removeIf((plan) -> plan.ageNanos(nowNanos) > TimeUnit.MINUTES.toNanos(1));
		this.speeds.removeExpired(nowNanos);
	}

}
