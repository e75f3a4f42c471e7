package org.comfreyslip.entry.fleet;

import java.util.ArrayList;
import java.util.EnumMap;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.OptionalLong;
import java.util.Set;
import java.util.concurrent.TimeUnit;

/**
 * Faults recently recorded against endpoints. They are learned from requests and from
 * other daemons, not by health probes: an endpoint charges for a probe and queues it for
 * a slot like any request.
 */
public final class EndpointFaults {

	/**
	 * Initial backoff, for which a faulty endpoint is avoided, in ns: half of the
	 * platform's heartbeat interval.
	 */
	private static final long FIRST_BACKOFF_NANOS = TimeUnit.MILLISECONDS.toNanos(600);

	/** Longest backoff, in ns. */
	private static final long MAX_BACKOFF_NANOS = TimeUnit.SECONDS.toNanos(5);

	/**
	 * Duration of a fault after which the endpoint's layers are placed elsewhere, in ns:
	 * about as long as loading some layers takes.
	 */
	private static final long PERSISTENT_FAULT_NANOS = TimeUnit.MILLISECONDS.toNanos(1_200);

	/**
	 * Time for which an endpoint that refused a connection is avoided, in ns; longer than
	 * the interval at which its address is checked again.
	 */
	private static final long REFUSED_BACKOFF_NANOS = TimeUnit.MILLISECONDS.toNanos(1_500);

	/**
	 * Time after a backoff in which a trial of an unreachable endpoint may still be
	 * running, in ns.
	 */
	private static final long TRIAL_NANOS = TimeUnit.SECONDS.toNanos(1);

	/**
	 * Age up to which a success outweighs the report of another daemon, in ns; longer
	 * than most gaps between the requests to an endpoint in use.
	 */
	private static final long RECENT_SUCCESS_NANOS = TimeUnit.SECONDS.toNanos(1);

	/** Weight of the newest response in the moving average of the failure rate. */
	private static final double FAILURE_RATE_WEIGHT = 0.15;

	/**
	 * Time after the end of a backoff from which a failure counts as a new fault, in ns.
	 * It is longer than a heartbeat interval and a retry together.
	 */
	private static final long NEW_FAULT_GAP_NANOS = TimeUnit.SECONDS.toNanos(3);

	private final Map<FaultKind, Map<String, Fault>> faults = new EnumMap<>(FaultKind.class);

	private final Set<String> unexpectedlyExited = new HashSet<>();

	/** Time in ns at which the last request was completed, by endpoint. */
	private final Map<String, Long> lastSuccessNanos = new HashMap<>();

	private final Map<String, Double> failureRates = new HashMap<>();

	/**
	 * Creates the record without faults.
	 */
	public EndpointFaults() {
		for (FaultKind kind : FaultKind.values()) {
			this.faults.put(kind, new HashMap<>());
		}
	}

	/**
	 * Records a fault that this daemon observed. A fault that continues an earlier one of
	 * its kind doubles the backoff; one within the current backoff changes nothing.
	 * @param kind what the fault says about the endpoint's process
	 * @param id identity of the endpoint
	 * @param nowNanos the current time in ns
	 */
	public void recordFault(FaultKind kind, String id, long nowNanos) {
		Fault old = continuedFault(kind, id, nowNanos);
		if (old != null && nowNanos - old.avoidedUntilNanos() < 0) {
			return;
		}
		long backoff = (old != null) ? Math.min(MAX_BACKOFF_NANOS, 2 * old.backoffNanos()) : FIRST_BACKOFF_NANOS;
		long faultySince = (old != null) ? old.faultySinceNanos() : nowNanos;
		this.faults.get(kind).put(id, new Fault(nowNanos + backoff, backoff, true, faultySince, nowNanos));
	}

	// Returns the last fault of a kind if a failure at the given time continues it, else
	// null.
	private Fault continuedFault(FaultKind kind, String id, long nowNanos) {
		Fault fault = this.faults.get(kind).get(id);
		return (fault != null && nowNanos - fault.avoidedUntilNanos() < NEW_FAULT_GAP_NANOS) ? fault : null;
	}

	/**
	 * Records that an endpoint completed a request or a stream, which clears its faults.
	 * @param id identity of the endpoint
	 * @param nowNanos the current time in ns
	 */
	public void recordSuccess(String id, long nowNanos) {
		clearFaults(id);
		this.lastSuccessNanos.put(id, nowNanos);
	}

	private void clearFaults(String id) {
		this.faults.values().forEach((byId) -> byId.remove(id));
		this.unexpectedlyExited.remove(id);
	}

	/**
	 * Records that an endpoint refused a connection, which means that its process has
	 * ended.
	 * @param id identity of the endpoint
	 * @param leaving whether it had announced its exit or removed its registration before
	 * @param nowNanos the current time in ns
	 */
	public void recordConnectionRefused(String id, boolean leaving, long nowNanos) {
		extendFault(id, REFUSED_BACKOFF_NANOS, true, nowNanos);
		if (!leaving) {
			this.unexpectedlyExited.add(id);
		}
	}

	/**
	 * Returns when this daemon last observed that an endpoint was unreachable.
	 * @param id identity of the endpoint
	 * @return the time in ns; empty if no such fault is known
	 */
	public OptionalLong lastUnreachableNanos(String id) {
		Fault fault = this.faults.get(FaultKind.UNREACHABLE).get(id);
		return (fault != null) ? OptionalLong.of(fault.lastFailureNanos()) : OptionalLong.empty();
	}

	/**
	 * Forgets that an endpoint was unreachable, since the cause was on the way to it.
	 * @param id identity of the endpoint
	 */
	public void clearUnreachable(String id) {
		this.faults.get(FaultKind.UNREACHABLE).remove(id);
	}

	/**
	 * Tells whether an endpoint's process ended without having announced its exit, and
	 * the endpoint has completed no request since.
	 * @param id identity of the endpoint
	 * @return whether it exited unexpectedly; a planned exit does not count
	 */
	public boolean hasExitedUnexpectedly(String id) {
		return this.unexpectedlyExited.contains(id);
	}

	/**
	 * Records that another daemon observed a fault of an endpoint. Has no effect on an
	 * endpoint that this daemon avoids itself, or that has just completed a request of
	 * this daemon: the other one may have lost its own network.
	 * @param id identity of the endpoint
	 * @param validNanos time for which the endpoint is avoided, in ns: until the next
	 * message of that daemon is due
	 * @param nowNanos the current time in ns
	 */
	public void recordPeerReport(String id, long validNanos, long nowNanos) {
		Fault known = this.faults.get(FaultKind.UNREACHABLE).get(id);
		boolean observedLocally = known != null && known.observedLocally() && known.isAvoided(nowNanos);
		if (!observedLocally && !hasRecentSuccess(id, nowNanos)) {
			extendFault(id, validNanos, false, nowNanos);
		}
	}

	private boolean hasRecentSuccess(String id, long nowNanos) {
		Long success = this.lastSuccessNanos.get(id);
		return success != null && nowNanos - success < RECENT_SUCCESS_NANOS;
	}

	// Records that an endpoint is unreachable, and that it is avoided at least until the
	// given time has passed.
	private void extendFault(String id, long backoffNanos, boolean observedLocally, long nowNanos) {
		Fault old = continuedFault(FaultKind.UNREACHABLE, id, nowNanos);
		long untilNanos = nowNanos + backoffNanos;
		if (old != null && old.avoidedUntilNanos() - untilNanos > 0) {
			untilNanos = old.avoidedUntilNanos();
		}
		long faultySince = (old != null) ? old.faultySinceNanos() : nowNanos;
		this.faults.get(FaultKind.UNREACHABLE)
			.put(id, new Fault(untilNanos, FIRST_BACKOFF_NANOS, observedLocally, faultySince, nowNanos));
	}

	/**
	 * Returns the endpoints whose process may be lost according to a fault that this
	 * daemon observed itself. Only these are sent to other daemons, so that reports do
	 * not circulate.
	 * @param nowNanos the current time in ns
	 * @return the identities; may be empty
	 */
	public List<String> locallyObservedFaults(long nowNanos) {
		List<String> ids = new ArrayList<>();
		this.faults.get(FaultKind.UNREACHABLE).forEach((id, fault) -> {
			if (fault.observedLocally() && fault.isAvoided(nowNanos)) {
				ids.add(id);
			}
		});
		return ids;
	}

	/**
	 * Records the result of a request in the failure rate; a success also clears the
	 * fault.
	 * @param id identity of the endpoint
	 * @param failed whether the endpoint failed the request
	 * @param nowNanos the current time in ns
	 */
	public void recordResponse(String id, boolean failed, long nowNanos) {
		if (!failed) {
			recordSuccess(id, nowNanos);
		}
		this.failureRates.merge(id, (failed) ? FAILURE_RATE_WEIGHT : 0.0,
				(old, fresh) -> old * (1 - FAILURE_RATE_WEIGHT) + fresh);
	}

	/**
	 * Tells whether an endpoint is avoided.
	 * @param id identity of the endpoint
	 * @param nowNanos the current time in ns
	 * @return whether the backoff of its last fault has not ended
	 */
	public boolean isAvoided(String id, long nowNanos) {
		for (Map<String, Fault> byId : this.faults.values()) {
			Fault fault = byId.get(id);
			if (fault != null && fault.isAvoided(nowNanos)) {
				return true;
			}
		}
		return false;
	}

	/**
	 * Tells whether an endpoint is avoided because its process ended or does not respond,
	 * by the observation of this daemon or of another one.
	 * @param id identity of the endpoint
	 * @param nowNanos the current time in ns
	 * @return whether the backoff of the last such fault has not ended
	 */
	public boolean isUnreachable(String id, long nowNanos) {
		Fault fault = this.faults.get(FaultKind.UNREACHABLE).get(id);
		return fault != null && fault.isAvoided(nowNanos);
	}

	/**
	 * Tells whether an endpoint has been unreachable for so long that its layers should
	 * be placed elsewhere.
	 * @param id identity of the endpoint
	 * @param nowNanos the current time in ns
	 * @return whether its fault has lasted for at least {@link #PERSISTENT_FAULT_NANOS},
	 * and it is avoided now or may just be tried again
	 */
	public boolean isPersistentlyFaulty(String id, long nowNanos) {
		Fault fault = this.faults.get(FaultKind.UNREACHABLE).get(id);
		if (fault == null || nowNanos - fault.faultySinceNanos() < PERSISTENT_FAULT_NANOS) {
			return false;
		}
		boolean repeated = fault.lastFailureNanos() - fault.faultySinceNanos() > 0;
		return fault.isAvoided(nowNanos) || (repeated && fault.isAvoided(nowNanos - TRIAL_NANOS));
	}

	/**
	 * Returns the moving average of the share of failed requests.
	 * @param id identity of the endpoint
	 * @return the share, 0 to 1; 0 before the first response
	 */
	public double failureRate(String id) {
		return this.failureRates.getOrDefault(id, 0.0);
	}

	/**
	 * Forgets everything about an endpoint, whose next incarnation starts without a
	 * history.
	 * @param id identity of the endpoint
	 */
	public void forget(String id) {
		clearFaults(id);
		this.lastSuccessNanos.remove(id);
		this.failureRates.remove(id);
	}

	/**
	 * A fault of an endpoint.
	 *
	 * @param avoidedUntilNanos when the backoff ends, in ns
	 * @param backoffNanos length of the backoff, in ns
	 * @param observedLocally whether this daemon observed the fault itself
	 * @param faultySinceNanos when the first failure of this fault was recorded, in ns
	 * @param lastFailureNanos when its last failure was recorded, in ns
	 */
	private record Fault(long avoidedUntilNanos, long backoffNanos, boolean observedLocally, long faultySinceNanos,
			long lastFailureNanos) {

		boolean isAvoided(long nowNanos) {
			return nowNanos - this.avoidedUntilNanos < 0;
		}

	}

}
