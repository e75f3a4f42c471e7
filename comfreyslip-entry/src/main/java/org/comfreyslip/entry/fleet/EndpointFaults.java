package org.comfreyslip.entry.fleet;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
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

	/**
	 * Time of failures after which layers are placed elsewhere, in ns: about the time of
	 * a load of some layers.
	 */
	private static final long LOST_NANOS = TimeUnit.MILLISECONDS.toNanos(1_200);

	/** Weight of the newest result in the failure rate. */
	private static final double RATE_WEIGHT = 0.15;

	/**
	 * Time after a pause has ended from which a failure counts as a new one, in ns; above
	 * a heartbeat and a retry.
	 */
	private static final long SEPARATE_NANOS = TimeUnit.SECONDS.toNanos(3);

	private final Map<String, Fault> faults = new HashMap<>();

	private final Set<String> down = new HashSet<>();

	private final Map<String, Double> failureRate = new HashMap<>();

	/**
	 * Records that an endpoint did not answer or was named as the cause of a failure.
	 * @param id the endpoint
	 * @param nowNanos the current time in ns
	 */
	public void onUnreachable(String id, long nowNanos) {
		Fault old = recent(id, nowNanos);
		if (old != null && nowNanos - old.untilNanos() < 0) {
			return;
		}
		long backoff = (old != null) ? Math.min(MAX_BACKOFF_NANOS, 2 * old.backoffNanos()) : FIRST_BACKOFF_NANOS;
		long since = (old != null) ? old.sinceNanos() : nowNanos;
		this.faults.put(id, new Fault(nowNanos + backoff, backoff, true, since));
	}

	// Returns the last failure if the next one continues it.
	private Fault recent(String id, long nowNanos) {
		Fault fault = this.faults.get(id);
		return (fault != null && nowNanos - fault.untilNanos() < SEPARATE_NANOS) ? fault : null;
	}

	/**
	 * Records that a stream through an endpoint ended well.
	 * @param id the endpoint
	 */
	public void onWorking(String id) {
		this.faults.remove(id);
		this.down.remove(id);
	}

	/**
	 * Records that an endpoint refuses connections, so that its process has ended.
	 * @param id the endpoint
	 * @param leaving whether it had announced that it leaves, or left the store, before
	 * @param nowNanos the current time in ns
	 */
	public void onDown(String id, boolean leaving, long nowNanos) {
		onUnreachable(id, nowNanos);
		if (!leaving) {
			this.down.add(id);
		}
	}

	/**
	 * Tells whether an endpoint's process ended while it was to serve, and has not
	 * answered since. An exit as planned is no failure.
	 * @param id the endpoint
	 * @return whether it failed
	 */
	public boolean hasFailed(String id) {
		return this.down.contains(id);
	}

	/**
	 * Records that another daemon found an endpoint unreachable.
	 * @param id the endpoint
	 * @param nowNanos the current time in ns
	 */
	public void onReported(String id, long nowNanos) {
		if (!isAvoided(id, nowNanos)) {
			Fault old = recent(id, nowNanos);
			long since = (old != null) ? old.sinceNanos() : nowNanos;
			this.faults.put(id, new Fault(nowNanos + FIRST_BACKOFF_NANOS / 2, FIRST_BACKOFF_NANOS, false, since));
		}
	}

	/**
	 * Returns the endpoints that this daemon itself found unreachable just now.
	 * @param nowNanos the current time in ns
	 * @return the identities
	 */
	public List<String> ownUnreachable(long nowNanos) {
		List<String> ids = new ArrayList<>();
		this.faults.forEach((id, fault) -> {
			if (fault.own() && nowNanos - fault.untilNanos() < 0) {
				ids.add(id);
			}
		});
		return ids;
	}

	/**
	 * Records a response.
	 * @param id the endpoint
	 * @param failed whether the endpoint failed the request
	 */
	public void onResponse(String id, boolean failed) {
		if (!failed) {
			onWorking(id);
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
	 * Tells whether an endpoint has failed for so long that its work should move.
	 * @param id the endpoint
	 * @param nowNanos the current time in ns
	 * @return whether it is avoided now and no response came for {@link #LOST_NANOS}
	 */
	public boolean isLost(String id, long nowNanos) {
		Fault fault = this.faults.get(id);
		return fault != null && nowNanos - fault.untilNanos() < 0 && nowNanos - fault.sinceNanos() >= LOST_NANOS;
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
		this.down.remove(id);
	}

	private record Fault(long untilNanos, long backoffNanos, boolean own, long sinceNanos) {
	}

}
