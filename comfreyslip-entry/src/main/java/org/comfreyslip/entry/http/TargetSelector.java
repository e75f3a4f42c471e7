package org.comfreyslip.entry.http;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.function.Predicate;
import java.util.random.RandomGenerator;

import org.comfreyslip.entry.fleet.EndpointDirectory;
import org.comfreyslip.entry.fleet.EndpointFaults;
import org.comfreyslip.entry.fleet.EndpointLimits;
import org.comfreyslip.entry.fleet.LeastWaitSelector;
import org.comfreyslip.entry.layers.EngineSlowdowns;
import org.comfreyslip.entry.layers.LayerLoads;
import org.comfreyslip.entry.layers.LayerPath;
import org.comfreyslip.entry.layers.PathFinder;
import org.comfreyslip.entry.model.Endpoint;
import org.comfreyslip.entry.model.EngineSpec;
import org.comfreyslip.entry.prompt.Prompt;
import org.comfreyslip.entry.prompt.PromptPaths;
import org.comfreyslip.entry.reach.EndpointReach;

/**
 * Chooses the target of a send: an endpoint, a path, or another daemon while no endpoint
 * of the service can be reached from here.
 */
final class TargetSelector {

	private final String dataCentre;

	private final EndpointDirectory directory;

	private final EndpointFaults faults;

	private final EndpointLimits limits;

	private final LayerLoads loads;

	private final EngineSlowdowns slowdowns;

	private final PromptPaths promptPaths;

	private final LeastWaitSelector plainSelector;

	private final EndpointReach reach;

	private final PeerRelays relays;

	private final RandomGenerator random;

	/**
	 * Creates a selector.
	 * @param dataCentre the daemon's data centre, which is preferred
	 * @param directory the registered endpoints
	 * @param faults the faults of endpoints, which are avoided for some time
	 * @param limits the request rates that endpoints state as their limits
	 * @param loads the loads of engines and links
	 * @param slowdowns the slowdown factors of engines
	 * @param promptPaths chooses paths by the lengths of prompts
	 * @param plainSelector chooses among the endpoints of a plain service
	 * @param reach which services can be reached from here
	 * @param relays chooses among the other daemons
	 * @param random source of random numbers
	 */
	TargetSelector(String dataCentre, EndpointDirectory directory, EndpointFaults faults, EndpointLimits limits,
			LayerLoads loads, EngineSlowdowns slowdowns, PromptPaths promptPaths, LeastWaitSelector plainSelector,
			EndpointReach reach, PeerRelays relays, RandomGenerator random) {
		this.dataCentre = dataCentre;
		this.directory = directory;
		this.faults = faults;
		this.limits = limits;
		this.loads = loads;
		this.slowdowns = slowdowns;
		this.promptPaths = promptPaths;
		this.plainSelector = plainSelector;
		this.reach = reach;
		this.relays = relays;
		this.random = random;
	}

	/**
	 * Chooses where to send a request.
	 * @param query the request and its sends so far
	 * @param nowNanos the current steady time in ns
	 * @return the target, or what is known of why there is none
	 */
	TargetChoice choose(TargetQuery query, long nowNanos) {
		Optional<SendTarget> daemon = chooseDaemon(query, nowNanos);
		if (daemon.isPresent() || !maySendDirectly(query.service())) {
			return TargetChoice.elsewhere(daemon);
		}
		List<Endpoint> heldBack = heldBackEndpoints(query, nowNanos);
		return TargetChoice.here(chooseEndpoint(query, nowNanos), heldBack);
	}

	// A request under which an endpoint has ended is not passed on, since it may be the
	// cause. Chooses none unless the service is lost.
	private Optional<SendTarget> chooseDaemon(TargetQuery query, long nowNanos) {
		SendAttempts attempts = query.attempts();
		return (attempts.isOfOtherDaemon() || attempts.hasEndedEndpoint()) ? Optional.empty()
				: this.relays.choose(query.service(), attempts.triedDaemons(), nowNanos).map(SendTarget::of);
	}

	private Optional<SendTarget> chooseEndpoint(TargetQuery query, long nowNanos) {
		if (!query.isForEngine()) {
			return choosePlainEndpoint(query.service(), query.attempts().excluded(), nowNanos).map(SendTarget::of);
		}
		return findPath(query, query::mayBeFirstStage, nowNanos)
			.map((path) -> SendTarget.of(path, query.tokens(), query.prompt().get()));
	}

	private Optional<Endpoint> choosePlainEndpoint(String service, Collection<String> excluded, long nowNanos) {
		List<Endpoint> candidates = this.directory.usableEndpoints(service)
			.stream()
			.filter((endpoint) -> this.limits.maySend(endpoint, nowNanos))
			.toList();
		return this.plainSelector.choose(candidates, excluded, this.dataCentre, nowNanos);
	}

	private Optional<LayerPath> findPath(TargetQuery query, Predicate<Endpoint> allowedFirst, long nowNanos) {
		Prompt prompt = query.prompt().get();
		PathFinder finder = new PathFinder(prompt.engine(), this.loads, this.slowdowns);
		List<Endpoint> engines = usableEngines(query.service(), nowNanos);
		Predicate<Endpoint> mayBeFirst = allowedFirst.and((first) -> this.limits.maySend(first, nowNanos));
		return this.promptPaths.find(prompt,
				(costs) -> finder.find(engines, this.dataCentre, query.tokens(), mayBeFirst, costs, nowNanos),
				nowNanos);
	}

	/**
	 * Tells whether a target other than the current one can take a request that the
	 * current one may have run.
	 * @param query the request and its sends, of which the current one counts as run
	 * @param current the target of the current send
	 * @param cause why the current send is to end
	 * @param nowNanos the current steady time in ns
	 * @return whether there is another daemon, endpoint or path
	 */
	boolean hasAlternative(TargetQuery query, SendTarget current, SendFailureCause cause, long nowNanos) {
		if (current.daemon().isPresent() || !maySendDirectly(query.service())) {
			return chooseDaemon(query, nowNanos).isPresent();
		}
		String endpointId = current.endpoint().get().id();
		if (current.path().isEmpty()) {
			Set<String> used = new HashSet<>(query.attempts().excluded());
			used.add(endpointId);
			return query.attempts().hasRunsLeft(query.admitted().route())
					&& choosePlainEndpoint(query.service(), used, nowNanos).isPresent();
		}
		return findPath(query,
				(first) -> !(cause.isCausedByTarget() && first.id().equals(endpointId)) && query.mayBeFirstStage(first),
				nowNanos)
			.filter((other) -> !other.hasSameStages(current.path().get()))
			.isPresent();
	}

	/**
	 * Tells whether a request may be sent to an endpoint of a service: to any as long as
	 * the service is not lost, else only if one has started since.
	 * @param service name of the service
	 * @return whether it may
	 */
	boolean maySendDirectly(String service) {
		return !this.reach.isLost(service) || this.reach.hasUntried(service,
				this.directory.usableEndpoints(service).stream().map(Endpoint::id).toList());
	}

	private List<Endpoint> heldBackEndpoints(TargetQuery query, long nowNanos) {
		if (!this.limits.isAnyInForce()) {
			return List.of();
		}
		return receivingEndpoints(query, nowNanos).stream()
			.filter((endpoint) -> !this.limits.maySend(endpoint, nowNanos))
			.toList();
	}

	/**
	 * Returns the endpoints that a request may be sent to, apart from limits and loads.
	 * @param query the request and its sends so far
	 * @param nowNanos the current steady time in ns
	 * @return the endpoints, for streams those that hold the first layer; may be empty
	 */
	List<Endpoint> receivingEndpoints(TargetQuery query, long nowNanos) {
		List<Endpoint> usable = (query.isForEngine()) ? usableEngines(query.service(), nowNanos)
				: this.directory.usableEndpoints(query.service());
		return usable.stream()
			.filter(query::mayTake)
			.filter((one) -> one.layers().isEmpty() || one.layers().get().contains(0))
			.toList();
	}

	/**
	 * Tells whether the engines of a service have a path through all layers, whatever
	 * their loads.
	 * @param service name of the service
	 * @param engine its model engine
	 * @param nowNanos the current steady time in ns
	 * @return whether there is a path
	 */
	boolean hasPath(String service, EngineSpec engine, long nowNanos) {
		return new PathFinder(engine, new LayerLoads(this.random), this.slowdowns)
			.find(usableEngines(service, nowNanos), this.dataCentre, 1, (first) -> true, nowNanos)
			.isPresent();
	}

	// Returns the engines of a service that hold layers and are not avoided.
	private List<Endpoint> usableEngines(String service, long nowNanos) {
		List<Endpoint> usable = new ArrayList<>();
		for (Endpoint endpoint : this.directory.usableEndpoints(service)) {
			if (endpoint.layers().isPresent() && !this.faults.isAvoided(endpoint.id(), nowNanos)) {
				usable.add(endpoint);
			}
		}
		return usable;
	}

	/**
	 * Describes the engines of a request that has no path, for the log.
	 * @param query the request, which is for an engine
	 * @param nowNanos the current steady time in ns
	 * @return the number of usable engines and the layers that none of them holds
	 */
	MissingPath describeMissingPath(TargetQuery query, long nowNanos) {
		List<Endpoint> engines = usableEngines(query.service(), nowNanos);
		PathFinder finder = new PathFinder(query.admitted().engine().get(), this.loads, this.slowdowns);
		return new MissingPath(engines.size(), finder.missingLayers(engines));
	}

	/**
	 * The engines of a request that has no path.
	 *
	 * @param engineCount number of usable engines
	 * @param missingLayers the layers that none of them holds, as ranges; empty if all
	 * are held, so that capacity or an allowed first stage is missing
	 */
	record MissingPath(int engineCount, String missingLayers) {
	}

}
