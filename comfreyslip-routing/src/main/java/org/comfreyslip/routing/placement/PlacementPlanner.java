package org.comfreyslip.routing.placement;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.TimeUnit;

import org.comfreyslip.routing.invariant.Invariants;
import org.comfreyslip.routing.placement.PlacementOrder.LoadAdapter;
import org.comfreyslip.routing.placement.PlacementOrder.LoadRange;
import org.comfreyslip.routing.placement.PlacementOrder.UnloadAdapter;
import org.comfreyslip.routing.topology.LayerRange;

/**
 * Decides which engines are to hold which models, versions and adapters. Only the holder
 * of the placement lease runs it. An engine changes what it holds only while the other
 * engines that serve now can carry the demand for its layers without it.
 */
public final class PlacementPlanner {

	/** Utilisation above which a layer range gets an additional engine. */
	public static final double HIGH_UTILISATION = 0.8;

	/**
	 * Highest utilisation that the layers an engine leaves may then have. The hysteresis
	 * to {@link #HIGH_UTILISATION} keeps the engine from being moved back at once.
	 */
	public static final double LOW_UTILISATION = 0.6;

	/** Time for which demand must stay high before an engine is moved, in ns. */
	public static final long HIGH_DEMAND_NANOS = TimeUnit.SECONDS.toNanos(60);

	/** Time during which an engine that was moved is not moved again, in ns. */
	public static final long MIN_STAY_NANOS = TimeUnit.MINUTES.toNanos(10);

	/**
	 * Time after which an order without visible effect no longer counts as a load in
	 * progress, in ns.
	 */
	public static final long ORDER_TIMEOUT_NANOS = TimeUnit.MINUTES.toNanos(5);

	private final int maxConcurrentLoads;

	private final Map<String, Long> highDemandSinceNanos = new HashMap<>();

	private final Map<String, Long> movedAtNanos = new HashMap<>();

	private final Map<String, PendingLoad> pendingOrders = new HashMap<>();

	/**
	 * Creates a planner.
	 * @param maxLoads the number of concurrent loads that the weight store's rate allows
	 */
	public PlacementPlanner(int maxLoads) {
		this.maxConcurrentLoads = maxLoads;
	}

	/**
	 * Decides which orders are to be sent now.
	 * @param targets what the models need, one per model
	 * @param engines what the engines hold, as they report it
	 * @param nowNanos the current time in ns
	 * @return the orders in the sequence in which they are to be sent, possibly empty
	 */
	public List<PlacementOrder> decide(List<PlacementTarget> targets, List<PlacementEngine> engines, long nowNanos) {
		this.movedAtNanos.values().removeIf((moved) -> nowNanos - moved >= MIN_STAY_NANOS);
		this.pendingOrders.values().removeIf((load) -> nowNanos - load.orderedAtNanos() >= ORDER_TIMEOUT_NANOS);
		engines.stream().filter(this::isPendingOrderDone).forEach((engine) -> this.pendingOrders.remove(engine.name()));
		List<PlacementEngine> expected = engines.stream().map(this::expectedState).toList();
		Round round = new Round(targets, expected, nowNanos);
		round.busyEngineCount = expected.stream().filter(this::isBusy).count();
		targets.forEach((target) -> addCapacity(target, round));
		expected.forEach((engine) -> updateVersion(engine, round));
		expected.forEach((engine) -> updateAdapters(engine, round));
		if (round.loadCount > 0 && round.busyEngineCount > this.maxConcurrentLoads) {
			throw Invariants
				.violated(round.busyEngineCount + " loads at once exceed the limit " + this.maxConcurrentLoads);
		}
		return List.copyOf(round.orders);
	}

	private boolean isBusy(PlacementEngine engine) {
		return !engine.serving() || this.pendingOrders.containsKey(engine.name());
	}

	/**
	 * Returns the state that an engine is expected to reach. An engine with a pending
	 * order counts as loading, because it may stop serving at any time after the order,
	 * so its layers must not depend on it.
	 * @param engine the engine as it reports itself
	 * @return the engine as if its pending order had taken effect and it were loading;
	 * the same engine if there is none
	 */
	private PlacementEngine expectedState(PlacementEngine engine) {
		PendingLoad load = this.pendingOrders.get(engine.name());
		if (load != null && load.order() instanceof LoadRange order) {
			return new PlacementEngine(engine.name(), order.model(), order.version(), order.layers(), engine.adapters(),
					false, engine.layerTokensPerSecond(), engine.maxLayers());
		}
		return engine;
	}

	private boolean isPendingOrderDone(PlacementEngine engine) {
		PendingLoad load = this.pendingOrders.get(engine.name());
		return load != null && engine.serving() && isOrderDone(load.order(), engine);
	}

	private static boolean isOrderDone(PlacementOrder order, PlacementEngine engine) {
		if (order instanceof LoadRange range) {
			return range.model().equals(engine.model()) && range.version().equals(engine.version())
					&& range.layers().equals(engine.layers());
		}
		return order instanceof LoadAdapter adapter && engine.adapters().contains(adapter.adapter());
	}

	private void addCapacity(PlacementTarget target, Round round) {
		LayerCapacity capacity = round.capacities.get(target.model());
		int layer = capacity.weakestLayer();
		boolean uncovered = capacity.isUncovered(layer);
		if (!uncovered && target.tokensPerSecond() <= HIGH_UTILISATION * capacity.plannedRate(layer)) {
			this.highDemandSinceNanos.remove(target.model());
			return;
		}
		long since = this.highDemandSinceNanos.computeIfAbsent(target.model(), (model) -> round.nowNanos);
		if (!uncovered && round.nowNanos - since < HIGH_DEMAND_NANOS) {
			return;
		}
		LayerRange range = (uncovered) ? capacity.uncoveredRangeFrom(layer) : round.rangeAt(target.model(), layer);
		PlacementReason reason = (uncovered) ? PlacementReason.UNCOVERED : PlacementReason.DEMAND;
		findSpareEngine(target, range, reason, round).ifPresent((engine) -> {
			LayerRange fittingRange = new LayerRange(range.first(),
					Math.min(range.end(), range.first() + engine.maxLayers()));
			orderRangeLoad(engine, new LoadRange(engine.name(), target.model(), target.version(), fittingRange, reason),
					round);
		});
	}

	private Optional<PlacementEngine> findSpareEngine(PlacementTarget target, LayerRange range, PlacementReason reason,
			Round round) {
		if (round.busyEngineCount >= this.maxConcurrentLoads) {
			return Optional.empty();
		}
		return round.engines.stream()
			.filter((engine) -> !isBusy(engine) && !this.movedAtNanos.containsKey(engine.name()))
			.filter((engine) -> !(engine.model().equals(target.model()) && engine.layers().equals(range)))
			.filter((engine) -> engine.maxLayers() >= range.count() || reason == PlacementReason.UNCOVERED)
			.filter((engine) -> round.canSpare(engine, LOW_UTILISATION))
			.max((a, b) -> Double.compare(a.layerTokensPerSecond(), b.layerTokensPerSecond()));
	}

	private void updateVersion(PlacementEngine engine, Round round) {
		PlacementTarget target = round.targets.get(engine.model());
		if (target == null || target.version().equals(engine.version()) || isBusy(engine)
				|| round.busyEngineCount >= this.maxConcurrentLoads || !round.canSpare(engine, 1)) {
			return;
		}
		orderRangeLoad(engine, new LoadRange(engine.name(), engine.model(), target.version(), engine.layers(),
				PlacementReason.VERSION), round);
	}

	private void updateAdapters(PlacementEngine engine, Round round) {
		PlacementTarget target = round.targets.get(engine.model());
		if (target == null || isBusy(engine)) {
			return;
		}
		Optional<String> missing = target.adapters()
			.stream()
			.sorted()
			.filter((adapter) -> !engine.adapters().contains(adapter))
			.findFirst();
		if (missing.isPresent()) {
			if (round.busyEngineCount < this.maxConcurrentLoads) {
				addLoadOrder(new LoadAdapter(engine.name(), missing.get()), round);
			}
			return;
		}
		engine.adapters()
			.stream()
			.sorted()
			.filter((adapter) -> !target.adapters().contains(adapter))
			.forEach((adapter) -> round.orders.add(new UnloadAdapter(engine.name(), adapter)));
	}

	private void orderRangeLoad(PlacementEngine engine, LoadRange order, Round round) {
		LayerCapacity from = round.capacities.get(engine.model());
		if (from != null) {
			from.remove(engine.layers(), engine.rate(engine.layers()));
		}
		round.capacities.get(order.model()).add(order.layers(), engine.rate(order.layers()), false);
		this.movedAtNanos.put(engine.name(), round.nowNanos);
		addLoadOrder(order, round);
	}

	private void addLoadOrder(PlacementOrder order, Round round) {
		this.pendingOrders.put(order.engine(), new PendingLoad(order, round.nowNanos));
		round.busyEngineCount++;
		round.loadCount++;
		round.orders.add(order);
	}

	/**
	 * An order whose effect the engine does not report yet.
	 *
	 * @param order the order
	 * @param orderedAtNanos the time at which it was issued, in ns
	 */
	private record PendingLoad(PlacementOrder order, long orderedAtNanos) {
	}

	/**
	 * Working data of one call of {@link #decide}.
	 */
	private static final class Round {

		private final Map<String, PlacementTarget> targets = new HashMap<>();

		private final Map<String, LayerCapacity> capacities = new HashMap<>();

		private final List<PlacementEngine> engines;

		private final List<PlacementOrder> orders = new ArrayList<>();

		private final long nowNanos;

		private long busyEngineCount;

		private int loadCount;

		private Round(List<PlacementTarget> targets, List<PlacementEngine> engines, long nowNanos) {
			this.engines = engines;
			this.nowNanos = nowNanos;
			for (PlacementTarget target : targets) {
				this.targets.put(target.model(), target);
				this.capacities.put(target.model(), new LayerCapacity(target.layers()));
			}
			for (PlacementEngine engine : engines) {
				LayerCapacity capacity = this.capacities.get(engine.model());
				if (capacity != null) {
					capacity.add(engine.layers(), engine.rate(engine.layers()), engine.serving());
				}
			}
		}

		private boolean canSpare(PlacementEngine engine, double utilisation) {
			PlacementTarget target = this.targets.get(engine.model());
			return target == null || this.capacities.get(engine.model())
				.canSpare(engine.layers(), engine.rate(engine.layers()), target.tokensPerSecond() / utilisation);
		}

		private LayerRange rangeAt(String model, int layer) {
			return this.engines.stream()
				.filter((engine) -> engine.model().equals(model))
				.map(PlacementEngine::layers)
				.filter((range) -> range.first() <= layer && layer < range.end())
				.findFirst()
				.orElseThrow(() -> Invariants.violated("layer " + layer + " of " + model + " has no engine"));
		}

	}

}
