package org.comfreyslip.entry.layers;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeSet;
import java.util.concurrent.TimeUnit;
import java.util.function.LongSupplier;

import org.comfreyslip.entry.EntryEvent;
import org.comfreyslip.entry.EntryLog;
import org.comfreyslip.entry.fleet.EndpointDirectory;
import org.comfreyslip.entry.fleet.EndpointFaults;
import org.comfreyslip.entry.model.AcceleratorKind;
import org.comfreyslip.entry.model.Endpoint;
import org.comfreyslip.entry.model.EngineSpec;
import org.comfreyslip.entry.model.LayerRange;
import org.comfreyslip.entry.model.ServiceSpec;

/**
 * Orders engines to hold the planned layers while this daemon holds the placement duty.
 * It keeps no plan: each round starts from the layers that the endpoints hold, so a new
 * holder continues where its predecessor stopped. Rounds also plan while no order may be
 * given, so that the permission is asked for only if there is something to order.
 */
public final class PlacementCoordinator {

	/**
	 * Least time from the start of the duty to the first plan, in ns, in which
	 * registrations arrive, also those that show the orders of the holder before.
	 */
	private static final long REGISTRATION_WAIT_NANOS = TimeUnit.MILLISECONDS.toNanos(700);

	/**
	 * Time without a new endpoint after which the first plan is made, in ns; longer than
	 * the heartbeat interval of 1.2 s.
	 */
	private static final long NO_GROWTH_NANOS = TimeUnit.MILLISECONDS.toNanos(1_500);

	/**
	 * Longest wait from the first round of this daemon to the first plan, in ns; leaves
	 * time to load layers within the 15 s before the first request.
	 */
	private static final long MAX_FIRST_PLAN_WAIT_NANOS = TimeUnit.SECONDS.toNanos(7);

	/** Longest wait until an accepted order shows in the engine's registration, in ns. */
	private static final long ORDER_TIMEOUT_NANOS = TimeUnit.SECONDS.toNanos(12);

	/**
	 * Backoff before an order that was refused or got no response is planned again, in
	 * ns.
	 */
	private static final long RETRY_BACKOFF_NANOS = TimeUnit.MILLISECONDS.toNanos(500);

	/**
	 * Largest share of the engines of a service that may be suspected at a time. If more
	 * do not respond, this daemon's own network is the likelier cause.
	 */
	private static final double MAX_SUSPECTED_SHARE = 0.34;

	private final EndpointDirectory directory;

	private final EndpointFaults faults;

	private final LayerLoads loads;

	private final EngineControl control;

	private final OrderPermission permission;

	/** Clock for the responses of engines, which may arrive long after their round. */
	private final LongSupplier elapsedNanos;

	/** Orders in progress by identity of the endpoint. */
	private final Map<String, PendingOrder> pendingOrders = new HashMap<>();

	/** Layers that were missing in the last round, by service, or with data centre. */
	private final Map<String, String> missingLayers = new HashMap<>();

	/** Engines that were suspected in the last round, by service. */
	private final Map<String, Set<String>> suspectedEngines = new HashMap<>();

	private final PlacementMetrics metrics = new PlacementMetrics();

	/** Whether this daemon held the duty in the last round. */
	private boolean holding;

	/** Elapsed time in ns at which the duty began; valid only while it is held. */
	private long holdingSinceNanos;

	/** Elapsed time in ns of the first round; -1 before. */
	private long firstRoundNanos = -1;

	/** Whether the last round planned orders that could not be given. */
	private boolean deferred;

	/** Reports that were requested before an order and have not arrived. */
	private int openReports;

	/** Largest number of engines of a service that a round has found so far. */
	private int mostEnginesSeen;

	/** Elapsed time in ns at which that number grew last. */
	private long lastGrowthNanos;

	/**
	 * Creates the coordinator.
	 * @param directory the registered endpoints
	 * @param faults endpoints that failed recently
	 * @param loads the loads, from which the number of streams per endpoint is taken
	 * @param control control calls to engines
	 * @param permission the permission, without which no order is given
	 * @param elapsedNanos clock of the elapsed time, in ns, to which the permission
	 * refers
	 */
	public PlacementCoordinator(EndpointDirectory directory, EndpointFaults faults, LayerLoads loads,
			EngineControl control, OrderPermission permission, LongSupplier elapsedNanos) {
		this.directory = directory;
		this.faults = faults;
		this.loads = loads;
		this.control = control;
		this.permission = permission;
		this.elapsedNanos = elapsedNanos;
	}

	/**
	 * Plans the layers of each service if this daemon holds the duty, and orders the
	 * changes if it may. Called periodically, and when the permission has changed.
	 * @param services the services of the configuration in force
	 * @param nowNanos the current elapsed time in ns, to which the permission refers
	 * @param steadyNanos the current steady time in ns, to which the times of recorded
	 * faults refer
	 */
	public void planAndOrder(Iterable<ServiceSpec> services, long nowNanos, long steadyNanos) {
		if (this.firstRoundNanos < 0) {
			this.firstRoundNanos = nowNanos;
		}
		boolean holds = this.permission.holdsDuty(nowNanos);
		if (holds != this.holding) {
			this.holdingSinceNanos = nowNanos;
			EntryLog.write(EntryEvent.DUTY, "placement", "held", holds, "token", this.permission.fencingToken(), "why",
					this.permission.reason());
		}
		this.holding = holds;
		this.deferred = false;
		if (!holds) {
			this.pendingOrders.clear();
			return;
		}
		removeSettledOrders(nowNanos);
		if (nowNanos - this.holdingSinceNanos < REGISTRATION_WAIT_NANOS) {
			return;
		}
		for (ServiceSpec service : services) {
			service.engine().ifPresent((engine) -> orderService(service.name(), engine, nowNanos, steadyNanos));
		}
	}

	/**
	 * Tells whether there are orders to give, so that the permission has to be renewed.
	 * @return whether the last round planned orders that it could not give, or orders
	 * wait for the reports of their engines
	 */
	public boolean wantsToOrder() {
		return this.holding && (this.deferred || this.openReports > 0);
	}

	// Removes orders that show in the registration, whose engine is gone or restarted, or
	// that have expired.
	private void removeSettledOrders(long nowNanos) {
		this.pendingOrders.entrySet().removeIf((entry) -> {
			Optional<Endpoint> endpoint = this.directory.findUsable(entry.getKey());
			PendingOrder order = entry.getValue();
			boolean gone = endpoint.isEmpty() || endpoint.get().incarnationStartMs() != order.bornMs();
			boolean done = !gone && endpoint.get().layers().equals(Optional.of(order.range()));
			return gone || done || nowNanos - order.expiresAtNanos() >= 0;
		});
	}

	private void orderService(String service, EngineSpec engine, long nowNanos, long steadyNanos) {
		Map<String, Endpoint> byId = new HashMap<>();
		List<LayerPlanner.EnginePlacement> placements = new ArrayList<>();
		Set<String> suspected = findSuspected(service, steadyNanos);
		for (Endpoint endpoint : this.directory.usableEndpoints(service)) {
			AcceleratorKind kind = endpoint.accelerator().map(engine.kinds()::get).orElse(null);
			if (kind == null || isLost(endpoint, steadyNanos)) {
				continue;
			}
			PendingOrder order = this.pendingOrders.get(endpoint.id());
			Optional<LayerRange> layers = (order != null) ? Optional.of(order.range()) : endpoint.layers();
			byId.put(endpoint.id(), endpoint);
			placements
				.add(new LayerPlanner.EnginePlacement(endpoint.id(), endpoint.dataCentre(), kind, layers, order != null,
						this.loads.totalLoad(endpoint.id()).streamCount(), suspected.contains(endpoint.id())));
		}
		if (isStillGrowing(placements, nowNanos)) {
			return;
		}
		LayerPlanner.PlannedOrders orders = LayerPlanner.planRoundWithCauses(engine, placements);
		logMissingLayers(service, engine, placements, orders.ranges().size());
		logLayersWithoutReplica(service, engine, placements, suspected.size(), orders);
		if (orders.ranges().isEmpty()) {
			return;
		}
		if (!this.permission.mayOrder(nowNanos)) {
			this.deferred = true;
			return;
		}
		orders.causes().values().forEach(this.metrics::countOrder);
		orders.ranges().forEach((id, range) -> startOrder(byId.get(id), range, nowNanos));
	}

	// Logs the layers that no usable engine of any data centre holds or loads, which stop
	// all streams, if they have changed.
	private void logLayersWithoutReplica(String service, EngineSpec engine,
			List<LayerPlanner.EnginePlacement> placements, int suspectedCount, LayerPlanner.PlannedOrders orders) {
		List<LayerRange> ranges = placements.stream()
			.filter((placement) -> !placement.suspected())
			.flatMap((placement) -> placement.layers().stream())
			.toList();
		LayerCoverage coverage = new LayerCoverage(engine.layers(), ranges);
		this.metrics.recordRound(coverage.missingCount(), suspectedCount, orders.layersAtRisk());
		String before = this.missingLayers.put(service, coverage.missing());
		if (before != null && !before.equals(coverage.missing())) {
			long repairs = orders.causes()
				.values()
				.stream()
				.filter((cause) -> cause == LayerPlanner.OrderCause.GAP_EVERYWHERE)
				.count();
			EntryLog.write(EntryEvent.LAYERS_WITHOUT_REPLICA, service, "layers", coverage.missing(), "orders", repairs);
		}
	}

	/**
	 * Returns the metrics of the placement.
	 * @return text in the Prometheus format
	 */
	public String metricsText() {
		return this.metrics.text();
	}

	// The registration of an engine whose process has ended remains until it expires.
	private boolean isLost(Endpoint endpoint, long steadyNanos) {
		return this.faults.isPersistentlyFaulty(endpoint.id(), steadyNanos)
				|| (this.faults.hasExitedUnexpectedly(endpoint.id())
						&& this.faults.isUnreachable(endpoint.id(), steadyNanos));
	}

	// Returns the engines of a service that do not respond and are not lost for certain.
	private Set<String> findSuspected(String service, long steadyNanos) {
		List<Endpoint> endpoints = this.directory.usableEndpoints(service);
		Set<String> suspected = new TreeSet<>();
		for (Endpoint endpoint : endpoints) {
			if (this.faults.isUnreachable(endpoint.id(), steadyNanos) && !isLost(endpoint, steadyNanos)) {
				suspected.add(endpoint.id());
			}
		}
		boolean tooMany = suspected.size() > MAX_SUSPECTED_SHARE * endpoints.size();
		Set<String> before = this.suspectedEngines.put(service, suspected);
		if (!suspected.equals((before != null) ? before : Set.of())) {
			EntryLog.write(EntryEvent.ENGINES_SUSPECTED, service, "engines", suspected, "of", endpoints.size(),
					"ignored", tooMany);
		}
		return (tooMany) ? Set.of() : suspected;
	}

	// Logs for each data centre the layers that no usable engine there holds or loads, if
	// they have changed, and whether the plan orders anything.
	private void logMissingLayers(String service, EngineSpec engine, List<LayerPlanner.EnginePlacement> placements,
			int orderCount) {
		Map<String, List<LayerRange>> rangesByDataCentre = new HashMap<>();
		for (LayerPlanner.EnginePlacement placement : placements) {
			List<LayerRange> ranges = rangesByDataCentre.computeIfAbsent(placement.dataCentre(),
					(name) -> new ArrayList<>());
			placement.layers().filter((range) -> !placement.suspected()).ifPresent(ranges::add);
		}
		rangesByDataCentre.forEach((dataCentre, ranges) -> {
			String missing = new LayerCoverage(engine.layers(), ranges).missing();
			String before = this.missingLayers.put(service + "@" + dataCentre, missing);
			if (before != null && !before.equals(missing)) {
				EntryLog.write(EntryEvent.LAYERS_MISSING, service, "data_centre", dataCentre, "missing_layers", missing,
						"engines_with_layers", ranges.size(), "orders_of_all_data_centres", orderCount);
			}
		});
	}

	// A plan for only some of the endpoints would leave no useful range for those that
	// register later.
	private boolean isStillGrowing(List<LayerPlanner.EnginePlacement> placements, long nowNanos) {
		if (placements.size() > this.mostEnginesSeen) {
			this.mostEnginesSeen = placements.size();
			this.lastGrowthNanos = nowNanos;
		}
		boolean isFirstPlan = placements.stream().allMatch((placement) -> placement.layers().isEmpty());
		return isFirstPlan && nowNanos - this.lastGrowthNanos < NO_GROWTH_NANOS
				&& nowNanos - this.firstRoundNanos < MAX_FIRST_PLAN_WAIT_NANOS;
	}

	private void startOrder(Endpoint endpoint, LayerRange range, long nowNanos) {
		PendingOrder order = new PendingOrder(range, endpoint.incarnationStartMs(), nowNanos + ORDER_TIMEOUT_NANOS);
		this.pendingOrders.put(endpoint.id(), order);
		this.openReports++;
		this.control.fetchReport(endpoint, (report) -> {
			this.openReports--;
			onReport(endpoint, order, report, this.elapsedNanos.getAsLong());
		});
	}

	// The duty may have ended, and another daemon may have ordered the engine, since the
	// report was requested.
	private void onReport(Endpoint endpoint, PendingOrder order, Optional<EngineControl.Report> report, long nowNanos) {
		LayerRange range = order.range();
		if (!this.permission.holdsDuty(nowNanos) || this.pendingOrders.get(endpoint.id()) != order) {
			EntryLog.write(EntryEvent.ORDER_OUTCOME, endpoint.id(), "range", range, "outcome", "no longer due");
			return;
		}
		if (!this.permission.mayOrder(nowNanos)) {
			// The next round plans again, when the permission has been renewed.
			EntryLog.write(EntryEvent.ORDER_OUTCOME, endpoint.id(), "range", range, "outcome", "window closed");
			this.pendingOrders.remove(endpoint.id());
			this.deferred = true;
			return;
		}
		if (report.isEmpty() || report.get().busy()) {
			EntryLog.write(EntryEvent.ORDER_OUTCOME, endpoint.id(), "range", range, "outcome",
					(report.isEmpty()) ? "no report" : "busy");
			scheduleRetry(endpoint, order, nowNanos);
			return;
		}
		if (!report.get().layers().equals(Optional.of(range))) {
			long fencingToken = this.permission.fencingToken();
			EntryLog.write(EntryEvent.LAYERS_ORDERED, endpoint.id(), "range", range, "fence", fencingToken, "had",
					endpoint.layers());
			this.control.orderLayers(endpoint, range, fencingToken, report.get().orderCount(),
					(outcome) -> onOutcome(endpoint, order, fencingToken, outcome, this.elapsedNanos.getAsLong()));
		}
	}

	private void onOutcome(Endpoint endpoint, PendingOrder order, long fencingToken, EngineControl.OrderOutcome outcome,
			long nowNanos) {
		if (outcome == EngineControl.OrderOutcome.ACCEPTED) {
			return;
		}
		EntryLog.write(EntryEvent.ORDER_OUTCOME, endpoint.id(), "range", order.range(), "outcome", outcome, "fence",
				fencingToken);
		if (outcome == EngineControl.OrderOutcome.FENCED) {
			this.permission.recordRejectedToken(fencingToken);
		}
		scheduleRetry(endpoint, order, nowNanos);
	}

	// Keeps the order as pending for the backoff, after which the endpoint is planned
	// again.
	private void scheduleRetry(Endpoint endpoint, PendingOrder order, long nowNanos) {
		if (this.pendingOrders.get(endpoint.id()) == order) {
			this.pendingOrders.put(endpoint.id(),
					new PendingOrder(order.range(), order.bornMs(), nowNanos + RETRY_BACKOFF_NANOS));
		}
	}

	/**
	 * An order that does not show in the engine's registration yet.
	 *
	 * @param range the layers that were ordered
	 * @param bornMs start of the incarnation that was ordered, in Unix ms
	 * @param expiresAtNanos elapsed time in ns from which the endpoint is planned again
	 */
	private record PendingOrder(LayerRange range, long bornMs, long expiresAtNanos) {
	}

}
