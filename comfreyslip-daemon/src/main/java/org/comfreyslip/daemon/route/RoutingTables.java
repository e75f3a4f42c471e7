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
 * Endpoint table and planner under one lock, the endpoint table's lock of the daemon's
 * lock order.
 */
public final class RoutingTables {

	/**
	 * Shortest step timeout in nanoseconds. A step that is given up too early costs a
	 * rebuild of the stage's KV cache, which takes longer than a second for long prompts.
	 */
	static final long MIN_STEP_TIMEOUT_NANOS = 1_000_000_000L;

	/**
	 * Longest step timeout in nanoseconds. It also applies to engines without measured
	 * steps; a caller that waits longer than this for one token has given up.
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
	 * Takes over a configuration. Endpoints that stay keep their health.
	 * @param config the configuration that comes into force
	 * @param now the present time
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
		members.forEach((group, names) -> this.endpoints.assign(group, names, now));
		this.groups = Set.copyOf(members.keySet());
		this.planning = new PlanningTable(topology, this.dataCentre, this.endpoints);
		this.planner = new PipelinePlanner(this.planning);
	}

	/**
	 * Plans an answer.
	 * @param request what is to be planned
	 * @param now the present time
	 * @return the plan, or why there is none
	 */
	public synchronized PlanDecision plan(PlanRequest request, long now) {
		return this.planner.plan(request, now, this.random);
	}

	/**
	 * Plans a replacement of a lost layer range.
	 * @param range the lost range
	 * @param request the answer, with the failed engines excluded
	 * @param now the present time
	 * @return the replacement, or why there is none
	 */
	public synchronized PlanDecision replacement(LayerRange range, PlanRequest request, long now) {
		return this.planner.replacement(range, request, now, this.random);
	}

	/**
	 * Counts an answer on an engine for as long as the engine is one of its stages.
	 * @param engine the engine's name
	 * @param now the present time
	 * @return the occupancy, or empty if the engine is gone or takes no work
	 */
	public synchronized Optional<EndpointCall> occupy(String engine, long now) {
		Optional<EndpointEntry> entry = this.endpoints.find(engine);
		if (entry.isEmpty() || entry.get().health().grant(now) != EndpointGrant.NORMAL) {
			return Optional.empty();
		}
		return this.endpoints.startAt(engine, now);
	}

	/**
	 * Ends an occupancy or a call that says nothing about the endpoint.
	 * @param call the occupancy
	 */
	public synchronized void release(EndpointCall call) {
		this.endpoints.abandon(call);
	}

	/**
	 * Settles a call that succeeded.
	 * @param call the call
	 * @param now the present time
	 * @param unitNanos the measured time per unit of work, in ns
	 */
	public synchronized void succeed(EndpointCall call, long now, long unitNanos) {
		this.endpoints.succeed(call, now, unitNanos);
	}

	/**
	 * Settles a call or an occupancy that failed.
	 * @param call the call
	 * @param failure how it failed
	 * @param now the present time
	 */
	public synchronized void fail(EndpointCall call, EndpointFailure failure, long now) {
		this.endpoints.fail(call, failure, now, this.random);
	}

	/**
	 * Takes the time of a step that an engine answered.
	 * @param call the occupancy that the step belongs to
	 * @param now the present time
	 * @param unitNanos the time per position, in ns
	 */
	public synchronized void stepAnswered(EndpointCall call, long now, long unitNanos) {
		call.entry().health().onSuccess(EndpointGrant.NORMAL, now, unitNanos);
	}

	/**
	 * Returns the time limit for steps of a plan.
	 * @param names the engines of the plan
	 * @return the longest limit of the engines, in ns
	 */
	public synchronized long stepTimeout(Collection<String> names) {
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
	 * @param excluded the endpoints that may not take the call
	 * @param repeatable whether the call may be repeated, so that it may also probe an
	 * endpoint that failed before
	 * @param now the present time
	 * @return the endpoint and the started call, or empty if there is none
	 */
	public synchronized Optional<SelectedEndpoint> select(String service, Set<String> excluded, boolean repeatable,
			long now) {
		return this.endpoints.start(service, EndpointPolicy.WEIGHTED, excluded, repeatable, now, this.random)
			.map((call) -> new SelectedEndpoint(this.plainEndpoints.get(call.entry().name()), call));
	}

	/**
	 * Starts a probe of an endpoint that is due for one.
	 * @param name the endpoint's name
	 * @param now the present time
	 * @return the started call, or empty if no probe is due
	 */
	public synchronized Optional<EndpointCall> startProbe(String name, long now) {
		Optional<EndpointEntry> entry = this.endpoints.find(name);
		if (entry.isEmpty() || entry.get().health().grant(now) != EndpointGrant.PROBE) {
			return Optional.empty();
		}
		return this.endpoints.startAt(name, now);
	}

	/**
	 * Takes an engine's load report.
	 * @param engine the engine's name
	 * @param load the report
	 * @param now the present time
	 */
	public synchronized void onLoad(String engine, EngineLoad load, long now) {
		this.endpoints.find(engine).ifPresent((entry) -> {
			entry.load().onReport(load.queued() + load.running(), now);
			markLeaving(entry, load.leaving(), now);
		});
	}

	/**
	 * Takes the host list.
	 * @param leaving the addresses of leaving hosts
	 * @param now the present time
	 */
	public synchronized void onHostList(Set<String> leaving, long now) {
		this.engines.values().forEach((engine) -> onHost(engine.name(), leaving.contains(engine.address()), now));
		this.plainEndpoints.values()
			.forEach((endpoint) -> onHost(endpoint.name(), leaving.contains(endpoint.address()), now));
	}

	/**
	 * Takes the failure of a load probe of an engine that no answer uses.
	 * @param name the endpoint's name
	 * @param failure how it failed
	 * @param now the present time
	 */
	public synchronized void onProbeFailure(String name, EndpointFailure failure, long now) {
		this.endpoints.find(name)
			.ifPresent((entry) -> entry.health().onFailure(EndpointGrant.NORMAL, failure, now, this.random));
	}

	/**
	 * Takes a peer's news that an endpoint takes no work there.
	 * @param name the endpoint's name
	 * @param state {@link EndpointState#LEAVING} or {@link EndpointState#EJECTED}; others
	 * have no effect, because each daemon ends an ejection by its own probe
	 * @param now the present time
	 */
	public synchronized void onPeerNotification(String name, EndpointState state, long now) {
		this.endpoints.find(name).ifPresent((entry) -> {
			if (state == EndpointState.LEAVING) {
				markLeaving(entry, true, now);
			}
			else if (state == EndpointState.EJECTED) {
				entry.health().onPeerEjection(now, this.random);
			}
		});
	}

	/**
	 * Returns whether an endpoint is leaving.
	 * @param name the endpoint's name
	 * @param now the present time
	 * @return {@code true} after a sign that it is
	 */
	public synchronized boolean isLeaving(String name, long now) {
		return this.endpoints.find(name)
			.map((entry) -> entry.health().state(now) == EndpointState.LEAVING)
			.orElse(false);
	}

	/**
	 * Returns the services of which no endpoint takes work.
	 * @param services the services to look at
	 * @param now the present time
	 * @return the names of those that are down
	 */
	public synchronized Set<String> down(Collection<String> services, long now) {
		Set<String> down = new HashSet<>();
		for (String service : services) {
			boolean usable = this.endpoints.endpoints(service)
				.stream()
				.anyMatch((entry) -> entry.health().grant(now) != EndpointGrant.REFUSED);
			if (!usable) {
				down.add(service);
			}
		}
		return down;
	}

	/**
	 * Returns the state of all endpoints.
	 * @param now the present time
	 * @return one entry an endpoint, by name
	 */
	public synchronized List<EndpointStatus> status(long now) {
		List<EndpointStatus> status = new ArrayList<>();
		for (String group : this.groups) {
			for (EndpointEntry entry : this.endpoints.endpoints(group)) {
				status.add(new EndpointStatus(entry.name(), group, entry.health().state(now),
						entry.load().outstanding(), entry.health().weight(now)));
			}
		}
		status.sort(java.util.Comparator.comparing(EndpointStatus::name));
		return status;
	}

	/**
	 * Finds an engine of the configuration in force.
	 * @param name the engine's name
	 * @return the engine, or empty
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
			entry.health().onLive(now);
			return;
		}
		if (entry.health().state(now) != EndpointState.LEAVING) {
			DaemonEvent.ENDPOINT_LEAVING.log(entry.name());
		}
		entry.health().onLeaving(now);
	}

}
