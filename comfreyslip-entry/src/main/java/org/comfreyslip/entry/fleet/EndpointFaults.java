package org.comfreyslip.entry.fleet;

import java.util.HashMap;
import java.util.Map;
import java.util.concurrent.TimeUnit;

/**
 * Endpoints that failed recently, learned from requests only: health probes are priced
 * and wait for a slot like a request.
 */
public final class EndpointFaults {

	/**
	 * First time for which a failed endpoint is avoided, in ns; half a heartbeat of the
	 * platform.
	 */
	private static final long FIRST_BACKOFF_NANOS = TimeUnit.MILLISECONDS.toNanos(600);

	/** Longest time for which a failed endpoint is avoided, in ns. */
	private static final long MAX_BACKOFF_NANOS = TimeUnit.SECONDS.toNanos(5);

	/** Weight of the newest result in the failure rate. */
	private static final double RATE_WEIGHT = 0.15;

	private final Map<String, Fault> faults = new HashMap<>();

	private final Map<String, Double> failureRate = new HashMap<>();

	/**
	 * Records that an endpoint did not answer or was named as the cause of a failure.
	 * @param id the endpoint
	 * @param nowNanos the current time in ns
	 */
	public void onUnreachable(String id, long nowNanos) {
		Fault old = this.faults.get(id);
		if (old != null && nowNanos - old.untilNanos() < 0) {
			return;
		}
		long backoff = (old != null) ? Math.min(MAX_BACKOFF_NANOS, 2 * old.backoffNanos()) : FIRST_BACKOFF_NANOS;
		this.faults.put(id, new Fault(nowNanos + backoff, backoff));
	}

	/**
	 * Records a response.
	 * @param id the endpoint
	 * @param failed whether the endpoint failed the request
	 */
	public void onResponse(String id, boolean failed) {
		if (!failed) {
			this.faults.remove(id);
		}
		this.failureRate.merge(id, (failed) ? RATE_WEIGHT : 0.0, (old, fresh) -> old * (1 - RATE_WEIGHT) + fresh);
	}

	/**
	 * Tells whether an endpoint is avoided.
	 * @param id the endpoint
	 * @param nowNanos the current time in ns
	 * @return whether its last failure is recent
	 */
	public boolean isAvoided(String id, long nowNanos) {
		Fault fault = this.faults.get(id);
		return fault != null && nowNanos - fault.untilNanos() < 0;
	}

	/**
	 * Returns the recent share of failed requests.
	 * @param id the endpoint
	 * @return the share, 0 to 1
	 */
	public double failureRate(String id) {
		return this.failureRate.getOrDefault(id, 0.0);
	}

	/**
	 * Forgets an endpoint, whose next incarnation starts without a history.
	 * @param id the endpoint
	 */
	public void forget(String id) {
		this.faults.remove(id);
		this.failureRate.remove(id);
	}

	private record Fault(long untilNanos, long backoffNanos) {
	}

}
