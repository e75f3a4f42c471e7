package org.comfreyslip.daemon.route;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.random.RandomGenerator;

import org.comfreyslip.clients.engine.EngineLoad;
import org.comfreyslip.daemon.DaemonEvent;
import org.comfreyslip.daemon.config.ConfigInForce;
import org.comfreyslip.routing.endpoint.EndpointCall;
import org.comfreyslip.routing.endpoint.EndpointEntry;
import org.comfreyslip.routing.endpoint.EndpointFailure;
import org.comfreyslip.routing.endpoint.EndpointGrant;
import org.comfreyslip.routing.endpoint.EndpointPolicy;
import org.comfreyslip.routing.endpoint.EndpointState;
import org.comfreyslip.routing.endpoint.EndpointTable;
import org.comfreyslip.routing.plan.PipelinePlanner;
import org.comfreyslip.routing.plan.PlanDecision;
import org.comfreyslip.routing.plan.PlanRequest;
import org.comfreyslip.routing.plan.PlanningTable;
import org.comfreyslip.routing.topology.EndpointSpec;
import org.comfreyslip.routing.topology.EngineSpec;
import org.comfreyslip.routing.topology.LayerRange;
import org.comfreyslip.routing.topology.Topology;

/**
 * Endpoint table and pipeline planner of the configuration in force, guarded by one lock:
 * the endpoint table's lock in the daemon's lock order.
 */
public final class RoutingTables {

	/**
	 * Shortest step timeout in nanoseconds. A step that times out too early costs a
	 * rebuild of the stage's KV cache, which takes longer than a second for long prompts.
	 */
	static final long MIN_STEP_TIMEOUT_NANOS = 1_000_000_000L;

	/**
	 * Longest step timeout in nanoseconds. It also applies to engines without measured
	 * steps. A caller does not wait longer than this for one token.
	 */
	static final long MAX_STEP_TIMEOUT_NANOS = 3_000_000_000L;

	private final String dataCentre;

	private final RandomGenerator random;

	private final EndpointTable endpoints = new EndpointTable();

	private final Map<String, EngineSpec> engines = new HashMap<>();

	private final Map<String, EndpointSpec> plainEndpoints = new HashMap<>();

	private Set<String> groups = Set.of();

	private PipelinePlanner planner;

	private PlanningTable planning;

	/**
	 * Creates empty tables.
	 * @param dataCentre the daemon's data centre
	 * @param random the source of random choices
	 */
	public RoutingTables(String dataCentre, RandomGenerator random) {
		this.dataCentre = dataCentre;
		this.random = random;
	}

	/**
	 * Applies a configuration. Endpoints that it has in common with the previous one keep
	 * their health.
	 * @param config the configuration that comes into force
	 * @param now the present time on the monotonic clock, in ns
	 */
	public synchronized void apply(ConfigInForce config, long now) {
		Topology topology = config.topology();
		this.engines.clear();
		this.plainEndpoints.clear();
		Map<String, List<String>> members = new HashMap<>();
		this.groups.forEach((group) -> members.put(group, new ArrayList<>()));
		for (EngineSpec engine : topology.engines()) {
			this.engines.put(engine.name(), engine);
			members.computeIfAbsent(engine.model(), (name) -> new ArrayList<>()).add(engine.name());
		}
		for (EndpointSpec endpoint : topology.endpoints()) {
			this.plainEndpoints.put(endpoint.name(), endpoint);
			members.computeIfAbsent(endpoint.service(), (name) -> new ArrayList<>()).add(endpoint.name());
		}
		members.forEach((group, names) -> this.endpoints.setEndpoints(group, names, now));
		this.groups = Set.copyOf(members.keySet());
		this.planning = new PlanningTable(topology, this.dataCentre, this.endpoints);
		this.planner = new PipelinePlanner(this.planning);
	}

	/**
	 * Plans the path of a stream.
	 * @param request the model, the size of the stream and the excluded engines
	 * @param now the present time on the monotonic clock, in ns
	 * @return the plan, or the reason why there is none
	 */
	public synchronized PlanDecision plan(PlanRequest request, long now) {
		return this.planner.plan(request, now, this.random);
	}

	/**
	 * Plans the replacement of a layer range whose engine was lost.
	 * @param range the lost range
	 * @param request the request of the stream, with the failed engines excluded
	 * @param now the present time on the monotonic clock, in ns
	 * @return the replacement, or the reason why there is none
	 */
	public synchronized PlanDecision planReplacement(LayerRange range, PlanRequest request, long now) {
		return this.planner.planReplacement(range, request, now, this.random);
	}

	/**
	 * Starts to count a stream as outstanding on an engine that is one of its stages. The
	 * count lasts until the returned call is released or its failure is recorded.
	 * @param engine the engine's name
	 * @param now the present time on the monotonic clock, in ns
	 * @return the occupancy as a call, or empty if the engine is not configured any more
	 * or accepts no normal calls
	 */
	public synchronized Optional<EndpointCall> startOccupancy(String engine, long now) {
		Optional<EndpointEntry> entry = this.endpoints.find(engine);
		if (entry.isEmpty() || entry.get().health().grant(now) != EndpointGrant.NORMAL) {
			return Optional.empty();
		}
		return this.endpoints.startCallTo(engine, now);
	}

	/**
	 * Ends a call or an occupancy whose outcome says nothing about the endpoint's health.
	 * @param call the call or occupancy
	 */
	public synchronized void release(EndpointCall call) {
		this.endpoints.recordAbandonment(call);
	}

	/**
	 * Ends a call and records its success.
	 * @param call the call
	 * @param now the present time on the monotonic clock, in ns
	 * @param unitNanos the measured time per unit of work, in ns
	 */
	public synchronized void recordSuccess(EndpointCall call, long now, long unitNanos) {
		this.endpoints.recordSuccess(call, now, unitNanos);
	}

	/**
	 * Ends a call or an occupancy and records its failure.
	 * @param call the call or occupancy
	 * @param failure how it failed
	 * @param now the present time on the monotonic clock, in ns
	 */
	public synchronized void recordFailure(EndpointCall call, EndpointFailure failure, long now) {
		this.endpoints.recordFailure(call, failure, now, this.random);
	}

	/**
	 * Records the time of a step that succeeded. The occupancy goes on.
	 * @param call the occupancy that the step belongs to
	 * @param now the present time on the monotonic clock, in ns
	 * @param unitNanos the time per position, in ns
	 */
	public synchronized void recordStepTime(EndpointCall call, long now, long unitNanos) {
		call.entry().health().onCallSucceeded(EndpointGrant.NORMAL, now, unitNanos);
	}

	/**
	 * Returns the timeout for the steps of a plan.
	 * @param names the names of the engines of the plan
	 * @return the longest timeout of the engines, in ns, but at least the shortest and at
	 * most the longest step timeout
	 */
	public synchronized long stepTimeoutNanos(Collection<String> names) {
		long longest = names.stream()
			.map(this.endpoints::find)
			.flatMap(Optional::stream)
			.mapToLong((entry) -> entry.health().timing().timeoutNanos(1))
			.reduce(MIN_STEP_TIMEOUT_NANOS, Math::max);
		return Math.min(longest, MAX_STEP_TIMEOUT_NANOS);
	}

	/**
	 * Selects an endpoint of a plain service and starts a call on it.
	 * @param service the service's name
	 * @param excluded the names of the endpoints that must not be selected
	 * @param repeatable whether the call can be repeated, so that it may serve as the
	 * probe of an ejected endpoint
	 * @param now the present time on the monotonic clock, in ns
	 * @return the endpoint and the started call, or empty if there is none
	 */
	public synchronized Optional<SelectedEndpoint> select(String service, Set<String> excluded, boolean repeatable,
			long now) {
		return this.endpoints.startCall(service, EndpointPolicy.WEIGHTED, excluded, repeatable, now, this.random)
			.map((call) -> new SelectedEndpoint(this.plainEndpoints.get(call.entry().name()), call));
	}

	/**
	 * Starts a probe of an endpoint that is due for one.
	 * @param name the endpoint's name
	 * @param now the present time on the monotonic clock, in ns
	 * @return the started call, or empty if no probe is due
	 */
	public synchronized Optional<EndpointCall> startProbe(String name, long now) {
		Optional<EndpointEntry> entry = this.endpoints.find(name);
		if (entry.isEmpty() || entry.get().health().grant(now) != EndpointGrant.PROBE) {
			return Optional.empty();
		}
		return this.endpoints.startCallTo(name, now);
	}

	/**
	 * Handles a load report of an engine.
	 * @param engine the engine's name
	 * @param load the load report
	 * @param now the present time on the monotonic clock, in ns
	 */
	public synchronized void onLoadReport(String engine, EngineLoad load, long now) {
		this.endpoints.find(engine).ifPresent((entry) -> {
			entry.load().onLoadReport(load.queued() + load.running(), now);
			markLeaving(entry, load.leaving(), now);
		});
	}

	/**
	 * Handles a host list.
	 * @param leaving the addresses of leaving hosts
	 * @param now the present time on the monotonic clock, in ns
	 */
	public synchronized void onHostList(Set<String> leaving, long now) {
		this.engines.values().forEach((engine) -> onHost(engine.name(), leaving.contains(engine.address()), now));
		this.plainEndpoints.values()
			.forEach((endpoint) -> onHost(endpoint.name(), leaving.contains(endpoint.address()), now));
	}

	/**
	 * Handles the failure of a load probe that was not started as a call.
	 * @param name the engine's name
	 * @param failure how it failed
	 * @param now the present time on the monotonic clock, in ns
	 */
	public synchronized void onLoadProbeFailure(String name, EndpointFailure failure, long now) {
		this.endpoints.find(name)
			.ifPresent((entry) -> entry.health().onCallFailed(EndpointGrant.NORMAL, failure, now, this.random));
	}

	/**
	 * Handles a peer's notification that it sends no calls to an endpoint.
	 * @param name the endpoint's name
	 * @param state {@link EndpointState#LEAVING} or {@link EndpointState#EJECTED}; other
	 * states have no effect, because each daemon ends an ejection by its own probe
	 * @param now the present time on the monotonic clock, in ns
	 */
	public synchronized void onPeerNotification(String name, EndpointState state, long now) {
		this.endpoints.find(name).ifPresent((entry) -> {
			if (state == EndpointState.LEAVING) {
				markLeaving(entry, true, now);
			}
			else if (state == EndpointState.EJECTED) {
				entry.health().onEjectedByPeer(now, this.random);
			}
		});
	}

	/**
	 * Returns whether an endpoint is leaving.
	 * @param name the endpoint's name
	 * @param now the present time on the monotonic clock, in ns
	 * @return {@code true} if the host list, a load report or a peer reported it as
	 * leaving
	 */
	public synchronized boolean isLeaving(String name, long now) {
		return this.endpoints.find(name)
			.map((entry) -> entry.health().state(now) == EndpointState.LEAVING)
			.orElse(false);
	}

	/**
	 * Returns the services that have no endpoint that accepts calls.
	 * @param services the names of the services to check
	 * @param now the present time on the monotonic clock, in ns
	 * @return the names of the services that are down
	 */
	public synchronized Set<String> findDownServices(Collection<String> services, long now) {
		Set<String> downServices = new HashSet<>();
		for (String service : services) {
			boolean usable = this.endpoints.endpoints(service)
				.stream()
				.anyMatch((entry) -> entry.health().grant(now) != EndpointGrant.REFUSED);
			if (!usable) {
				downServices.add(service);
			}
		}
		return downServices;
	}

	/**
	 * Returns the status of all endpoints, engines included.
	 * @param now the present time on the monotonic clock, in ns
	 * @return one entry for each endpoint, sorted by name
	 */
	public synchronized List<EndpointStatus> status(long now) {
		List<EndpointStatus> status = new ArrayList<>();
		for (String group : this.groups) {
			for (EndpointEntry entry : this.endpoints.endpoints(group)) {
				status.add(new EndpointStatus(entry.name(), group, entry.health().state(now),
						entry.load().outstanding(), entry.health().slowStartWeight(now)));
			}
		}
		status.sort(java.util.Comparator.comparing(EndpointStatus::name));
		return status;
	}

	/**
	 * Finds an engine of the configuration in force.
	 * @param name the engine's name
	 * @return the engine, or empty if there is none of this name
	 */
	public synchronized Optional<EngineSpec> findEngine(String name) {
		return Optional.ofNullable(this.engines.get(name));
	}

	/**
	 * Returns the engines of the configuration in force.
	 * @return the engines
	 */
	public synchronized List<EngineSpec> engines() {
		return List.copyOf(this.engines.values());
	}

	/**
	 * Returns the endpoints of plain services of the configuration in force.
	 * @return the endpoints
	 */
	public synchronized List<EndpointSpec> plainEndpoints() {
		return List.copyOf(this.plainEndpoints.values());
	}

	private void onHost(String name, boolean leaving, long now) {
		this.endpoints.find(name).ifPresent((entry) -> markLeaving(entry, leaving, now));
	}

	private void markLeaving(EndpointEntry entry, boolean leaving, long now) {
		if (!leaving) {
			entry.health().onReportedLive(now);
			return;
		}
		if (entry.health().state(now) != EndpointState.LEAVING) {
			DaemonEvent.ENDPOINT_LEAVING.log(entry.name());
		}
		entry.health().onReportedLeaving(now);
	}

}
