package org.comfreyslip.daemon.order;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.function.LongSupplier;

import org.comfreyslip.clients.engine.EngineState;
import org.comfreyslip.clients.weights.WeightStoreClient;
import org.comfreyslip.coordination.lease.EndpointFencing;
import org.comfreyslip.coordination.lease.FencedOrder;
import org.comfreyslip.daemon.DaemonEvent;
import org.comfreyslip.daemon.config.ConfigHolder;
import org.comfreyslip.daemon.config.ConfigInForce;
import org.comfreyslip.daemon.route.EndpointStatus;
import org.comfreyslip.daemon.route.EngineClients;
import org.comfreyslip.daemon.route.RoutingTables;
import org.comfreyslip.routing.endpoint.EndpointState;
import org.comfreyslip.routing.placement.PlacementEngine;
import org.comfreyslip.routing.placement.PlacementOrder;
import org.comfreyslip.routing.placement.PlacementOrder.UnloadAdapter;
import org.comfreyslip.routing.placement.PlacementPlanner;
import org.comfreyslip.routing.topology.EngineSpec;
import org.comfreyslip.routing.topology.FencingMode;

/**
 * Sends orders that bring the engines to the configured versions and adapters while this
 * daemon holds the maintenance lease. Thread-safe.
 */
public final class PlacementService {

	private static final long TICK_MILLIS = 1_000;

	/**
	 * Time between reads of the states of all engines while orders are in progress. A new
	 * configuration version starts a read at once.
	 */
	private static final long ACTIVE_READ_INTERVAL_NANOS = TimeUnit.SECONDS.toNanos(5);

	/** With 910 engines, reading all states once a minute takes 15 requests a second. */
	private static final long IDLE_READ_INTERVAL_NANOS = TimeUnit.SECONDS.toNanos(60);

	private static final int MAX_CONCURRENT_LOADS = 2;

	private final Parts parts;

	private final List<OrderExecution> executions = new ArrayList<>();

	private PlacementPlanner planner;

	private boolean readInProgress;

	private long nextReadNanos;

	private long plannedVersion = -1;

	/**
	 * Creates a service with no orders in progress.
	 * @param parts the collaborators
	 */
	public PlacementService(Parts parts) {
		this.parts = parts;
	}

	/**
	 * Starts the periodic task.
	 * @param timer runs the periodic task
	 */
	public void start(ScheduledExecutorService timer) {
		timer.scheduleWithFixedDelay(this::tickSafely, TICK_MILLIS, TICK_MILLIS, TimeUnit.MILLISECONDS);
	}

	private void tickSafely() {
		try {
			tick();
		}
		catch (RuntimeException ex) {
			DaemonEvent.UNEXPECTED.log("placement", ex);
		}
	}

	private void tick() {
		if (!this.parts.lease().isValid()) {
			clear();
			return;
		}
		ordersInProgress().forEach((order) -> order.performNextAction(this.parts.daemon()));
		removeEndedOrders();
		this.parts.holder().current().filter(this::startReadIfDue).ifPresent(this::readStates);
	}

	private synchronized void clear() {
		this.executions.clear();
		this.planner = null;
		this.plannedVersion = -1;
	}

	private synchronized List<OrderExecution> ordersInProgress() {
		return List.copyOf(this.executions);
	}

	private synchronized void removeEndedOrders() {
		for (OrderExecution order : List.copyOf(this.executions)) {
			order.outcome().ifPresent((outcome) -> {
				this.executions.remove(order);
				this.nextReadNanos = this.parts.clock().getAsLong();
				reportOutcome(order, outcome);
			});
		}
	}

	private void reportOutcome(OrderExecution order, FencedOrder.Outcome outcome) {
		DaemonEvent.ORDER_ENDED.log(order.goal(), outcome);
		this.parts.listener().onOrderOutcome(order.goal().engine(), order.goal() + ": " + outcome);
	}

	private synchronized boolean startReadIfDue(ConfigInForce config) {
		boolean isNewVersion = config.snapshot().version().number() != this.plannedVersion;
		boolean due = !this.readInProgress
				&& (isNewVersion || this.parts.clock().getAsLong() - this.nextReadNanos >= 0);
		this.readInProgress = this.readInProgress || due;
		return due;
	}

	private void readStates(ConfigInForce config) {
		Map<String, EngineState> states = new ConcurrentHashMap<>();
		List<CompletableFuture<Void>> reads = new ArrayList<>();
		for (EngineSpec engine : config.topology().engines()) {
			this.parts.engines()
				.client(engine.name())
				.ifPresent((client) -> reads.add(client.state()
					.thenAccept((state) -> states.put(engine.name(), state))
					.exceptionally((ex) -> null)));
		}
		CompletableFuture.allOf(reads.toArray(CompletableFuture[]::new)).whenComplete((done, ex) -> {
			try {
				planOrders(config, states);
			}
			catch (RuntimeException failure) {
				DaemonEvent.UNEXPECTED.log("placement", failure);
			}
		});
	}

	private void planOrders(ConfigInForce config, Map<String, EngineState> states) {
		Set<String> unusable = unusableEngines();
		List<PlacementEngine> engines = PlacementInputs.engines(config.topology(), states, unusable);
		boolean valid = this.parts.lease().isValid();
		synchronized (this) {
			this.readInProgress = false;
			long now = this.parts.clock().getAsLong();
			if (!valid) {
				return;
			}
			this.plannedVersion = config.snapshot().version().number();
			this.planner = (this.planner != null) ? this.planner : new PlacementPlanner(MAX_CONCURRENT_LOADS);
			this.planner.decide(PlacementInputs.targets(config.topology(), engines), engines, now)
				.stream()
				.filter((order) -> !(order instanceof UnloadAdapter))
				.forEach((order) -> beginOrder(config, order));
			this.nextReadNanos = now
					+ (this.executions.isEmpty() ? IDLE_READ_INTERVAL_NANOS : ACTIVE_READ_INTERVAL_NANOS);
		}
	}

	private void beginOrder(ConfigInForce config, PlacementOrder order) {
		config.topology()
			.engines()
			.stream()
			.filter((engine) -> engine.name().equals(order.engine()))
			.findFirst()
			.ifPresent((engine) -> this.parts.engines().client(engine.name()).ifPresent((client) -> {
				EndpointFencing endpoint = (engine.fencing() == FencingMode.CHECKED) ? EndpointFencing.CHECKS_TOKEN
						: EndpointFencing.IGNORES_TOKEN;
				OrderGoal goal = new OrderGoal(order);
				DaemonEvent.ORDER_BEGUN.log(goal);
				this.executions.add(new OrderExecution(goal, endpoint, client, this.parts.weights(), this.parts.lease(),
						this.parts.clock()));
			}));
	}

	private Set<String> unusableEngines() {
		Set<String> names = new HashSet<>();
		for (EndpointStatus status : this.parts.tables().status(this.parts.clock().getAsLong())) {
			if (status.state() != EndpointState.HEALTHY) {
				names.add(status.name());
			}
		}
		return names;
	}

	/**
	 * Collaborators of the service.
	 *
	 * @param daemon the daemon's name
	 * @param lease the lease that this daemon must hold to send orders
	 * @param holder the configuration in force
	 * @param engines the engines' clients
	 * @param tables the routing tables, with the health of engines
	 * @param weights the weight store, which grants rate for loads
	 * @param listener receives the outcomes of orders
	 * @param clock the monotonic clock, in ns
	 */
	public record Parts(String daemon, MaintenanceLease lease, ConfigHolder holder, EngineClients engines,
			RoutingTables tables, WeightStoreClient weights, OrderListener listener, LongSupplier clock) {
	}

}
