package org.comfreyslip.routing.endpoint;

import java.util.ArrayList;
import java.util.Collection;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.random.RandomGenerator;

import org.comfreyslip.routing.invariant.Invariants;

/**
 * The endpoints of all services and models, by name and by group. It is not thread-safe:
 * the caller must hold the lock of the table during each call.
 */
public final class EndpointTable {

	/** Expected time of one call to an endpoint without measurements, in ns. */
	public static final long DEFAULT_SERVICE_NANOS = TimeUnit.MILLISECONDS.toNanos(20);

	private final Map<String, EndpointEntry> entriesByName = new LinkedHashMap<>();

	private final Map<String, List<EndpointEntry>> entriesByGroup = new LinkedHashMap<>();

	private long selectionCount;

	private int liveDaemons = 1;

	/**
	 * Sets the number of live daemons, from which the calls of the other daemons are
	 * estimated.
	 * @param count the number of live daemons, this one included, at least 1
	 */
	public void setLiveDaemons(int count) {
		if (count < 1) {
			throw Invariants.violated("live daemons " + count + "; this daemon itself is live");
		}
		this.liveDaemons = count;
	}

	/**
	 * Returns the number of live daemons.
	 * @return the count, this daemon included, at least 1
	 */
	public int liveDaemons() {
		return this.liveDaemons;
	}

	/**
	 * Sets the endpoints of a service or model. Endpoints that were in the group before
	 * keep their health and load.
	 * @param group the service or model
	 * @param names the names of its endpoints
	 * @param nowNanos the current time in ns
	 */
	public void setEndpoints(String group, Collection<String> names, long nowNanos) {
		List<EndpointEntry> next = new ArrayList<>();
		for (String name : names) {
			EndpointEntry known = this.entriesByName.get(name);
			boolean stays = known != null && known.group().equals(group);
			next.add(
					(stays) ? known : new EndpointEntry(name, group, new EndpointHealth(nowNanos), new EndpointLoad()));
		}
		for (EndpointEntry old : this.entriesByGroup.getOrDefault(group, List.of())) {
			this.entriesByName.remove(old.name(), old);
		}
		next.forEach((entry) -> this.entriesByName.put(entry.name(), entry));
		this.entriesByGroup.put(group, next);
	}

	/**
	 * Finds an endpoint by name.
	 * @param name the endpoint's name
	 * @return the endpoint, or empty if no group has one of this name
	 */
	public Optional<EndpointEntry> find(String name) {
		return Optional.ofNullable(this.entriesByName.get(name));
	}

	/**
	 * Returns the endpoints of a service or model.
	 * @param group the service or model
	 * @return the endpoints in the order of the configuration; empty if the group is
	 * unknown or has none
	 */
	public List<EndpointEntry> endpoints(String group) {
		return List.copyOf(this.entriesByGroup.getOrDefault(group, List.of()));
	}

	/**
	 * Selects an endpoint and starts a call. An endpoint that is due for a half-open
	 * probe is preferred, because without a call it would never recover.
	 * @param group the service or model
	 * @param policy the policy by which one of the healthy endpoints is selected
	 * @param excluded the names of endpoints that may not take the call
	 * @param mayProbe whether the call may be a half-open probe; {@code false} for a
	 * non-idempotent call, which must not be repeated
	 * @param nowNanos the current time in ns
	 * @param random the source of random numbers
	 * @return the started call, or empty if no endpoint may take it
	 */
	public Optional<EndpointCall> startCall(String group, EndpointPolicy policy, Set<String> excluded, boolean mayProbe,
			long nowNanos, RandomGenerator random) {
		List<EndpointCandidate> candidates = new ArrayList<>();
		List<EndpointEntry> entries = new ArrayList<>();
		for (EndpointEntry entry : this.entriesByGroup.getOrDefault(group, List.of())) {
			if (excluded.contains(entry.name())) {
				continue;
			}
			EndpointGrant grant = entry.health().grant(nowNanos);
			if (grant == EndpointGrant.PROBE && mayProbe) {
				return Optional.of(startCall(entry, nowNanos));
			}
			if (grant == EndpointGrant.NORMAL) {
				entries.add(entry);
				candidates.add(entry.toCandidate(nowNanos, DEFAULT_SERVICE_NANOS, this.liveDaemons));
			}
		}
		if (candidates.isEmpty()) {
			return Optional.empty();
		}
		EndpointCandidate chosen = policy.select(candidates, this.selectionCount++, random);
		return Optional.of(startCall(entries.get(candidates.indexOf(chosen)), nowNanos));
	}

	/**
	 * Starts a call to the named endpoint, for example to the engine of a planned stage.
	 * @param name the endpoint's name
	 * @param nowNanos the current time in ns
	 * @return the started call, or empty if the endpoint is unknown or may not take it
	 */
	public Optional<EndpointCall> startCallTo(String name, long nowNanos) {
		EndpointEntry entry = this.entriesByName.get(name);
		if (entry == null || entry.health().grant(nowNanos) == EndpointGrant.REFUSED) {
			return Optional.empty();
		}
		return Optional.of(startCall(entry, nowNanos));
	}

	/**
	 * Records that a call succeeded.
	 * @param call the call, whose end was not recorded before
	 * @param nowNanos the current time in ns
	 * @param unitNanos the measured time per unit of work, in ns
	 */
	public void recordSuccess(EndpointCall call, long nowNanos, long unitNanos) {
		call.entry().load().onCallEnded();
		call.entry().health().onCallSucceeded(call.grant(), nowNanos, unitNanos);
	}

	/**
	 * Records that a call failed.
	 * @param call the call, whose end was not recorded before
	 * @param failure how it failed
	 * @param nowNanos the current time in ns
	 * @param random the source of the backoff's jitter
	 */
	public void recordFailure(EndpointCall call, EndpointFailure failure, long nowNanos, RandomGenerator random) {
		call.entry().load().onCallEnded();
		call.entry().health().onCallFailed(call.grant(), failure, nowNanos, random);
	}

	/**
	 * Records that a call ended without a result that says anything about the endpoint.
	 * @param call the call, whose end was not recorded before
	 */
	public void recordAbandonment(EndpointCall call) {
		call.entry().load().onCallEnded();
		call.entry().health().onCallAbandoned(call.grant());
	}

	private EndpointCall startCall(EndpointEntry entry, long nowNanos) {
		EndpointGrant grant = entry.health().startCall(nowNanos);
		entry.load().onCallStarted();
		return new EndpointCall(entry, grant);
	}

}
