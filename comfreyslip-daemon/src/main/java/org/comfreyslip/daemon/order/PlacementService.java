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
 * Brings the engines to the versions and adapters of the text while this daemon holds the
 * maintenance lease. Thread-safe.
 */
public final class PlacementService {

	private static final long TICK_MILLIS = 1_000;

	/** Time between reads of all engines while orders are wanted or the text is new. */
	private static final long BUSY_NANOS = TimeUnit.SECONDS.toNanos(5);

	/** At 910 engines a read of all each minute is 15 requests a second. */
	private static final long IDLE_NANOS = TimeUnit.SECONDS.toNanos(60);

	private static final int MAX_LOADS = 2;

	private final Parts parts;

	private final List<OrderRun> runs = new ArrayList<>();

	private PlacementPlanner planner;

	private boolean reading;

	private long nextRead;

	private long decidedVersion = -1;

	/**
	 * Creates a service without orders.
	 * @param parts what the service works with
	 */
	public PlacementService(Parts parts) {
		this.parts = parts;
	}

	/**
	 * Starts to work.
	 * @param timer runs the steps
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
			forget();
			return;
		}
		running().forEach((run) -> run.step(this.parts.daemon()));
		settle();
		this.parts.holder().current().filter(this::isReadDue).ifPresent(this::read);
	}

	private synchronized void forget() {
		this.runs.clear();
		this.planner = null;
		this.decidedVersion = -1;
	}

	private synchronized List<OrderRun> running() {
		return List.copyOf(this.runs);
	}

	private synchronized void settle() {
		for (OrderRun run : List.copyOf(this.runs)) {
			run.outcome().ifPresent((outcome) -> {
				this.runs.remove(run);
				this.nextRead = this.parts.clock().getAsLong();
				report(run, outcome);
			});
		}
	}

	private void report(OrderRun run, FencedOrder.Outcome outcome) {
		DaemonEvent.ORDER_ENDED.log(run.goal(), outcome);
		this.parts.listener().onOutcome(run.goal().engine(), run.goal() + ": " + outcome);
	}

	private synchronized boolean isReadDue(ConfigInForce config) {
		boolean fresh = config.snapshot().version().number() != this.decidedVersion;
		boolean due = !this.reading && (fresh || this.parts.clock().getAsLong() - this.nextRead >= 0);
		this.reading = this.reading || due;
		return due;
	}

	private void read(ConfigInForce config) {
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
				decide(config, states);
			}
			catch (RuntimeException failure) {
				DaemonEvent.UNEXPECTED.log("placement", failure);
			}
		});
	}

	private void decide(ConfigInForce config, Map<String, EngineState> states) {
		Set<String> unusable = unusable();
		List<PlacementEngine> engines = EngineView.engines(config.topology(), states, unusable);
		boolean valid = this.parts.lease().isValid();
		synchronized (this) {
			this.reading = false;
			long now = this.parts.clock().getAsLong();
			if (!valid) {
				return;
			}
			this.decidedVersion = config.snapshot().version().number();
			this.planner = (this.planner != null) ? this.planner : new PlacementPlanner(MAX_LOADS);
			this.planner.decide(EngineView.targets(config.topology(), engines), engines, now)
				.stream()
				.filter((order) -> !(order instanceof UnloadAdapter))
				.forEach((order) -> begin(config, order));
			this.nextRead = now + (this.runs.isEmpty() ? IDLE_NANOS : BUSY_NANOS);
		}
	}

	private void begin(ConfigInForce config, PlacementOrder order) {
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
				this.runs.add(new OrderRun(goal, endpoint, client, this.parts.weights(), this.parts.lease(),
						this.parts.clock()));
			}));
	}

	private Set<String> unusable() {
		Set<String> names = new HashSet<>();
		for (EndpointStatus status : this.parts.tables().status(this.parts.clock().getAsLong())) {
			if (status.state() != EndpointState.HEALTHY) {
				names.add(status.name());
			}
		}
		return names;
	}

	/**
	 * What the service works with.
	 *
	 * @param daemon the daemon's name
	 * @param lease the lease under which orders are given
	 * @param holder the configuration in force
	 * @param engines the engines' clients
	 * @param tables the engines' health
	 * @param weights grants the rate for loads
	 * @param listener hears of outcomes
	 * @param clock the monotonic clock, in ns
	 */
	public record Parts(String daemon, MaintenanceLease lease, ConfigHolder holder, EngineClients engines,
			RoutingTables tables, WeightStoreClient weights, OrderListener listener, LongSupplier clock) {
	}

}
