package org.comfreyslip.entry.layers;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import java.util.stream.IntStream;

import org.comfreyslip.entry.model.AcceleratorKind;
import org.comfreyslip.entry.model.EngineSpec;
import org.comfreyslip.entry.model.LayerRange;

/**
 * Plans which layers each host holds. The hosts of a data centre together hold all layers
 * where their memory allows it, because otherwise the activations of every token cross
 * the link between data centres. Beyond one replica of each layer, ranges overlap, so
 * that another path remains when a host is lost; the rest of the memory is KV cache. The
 * load that it addresses is the loss of several hosts at once.
 */
public final class LayerPlanner {

	/**
	 * Least average number of replicas of each layer to plan for in one group, if the
	 * memory allows it. There are more where the KV cache for all slots fits beside them.
	 */
	static final double MIN_REPLICAS = 1.25;

	/**
	 * Largest share of a host's memory that model weights may take; the rest holds the KV
	 * cache.
	 */
	static final double MAX_WEIGHT_SHARE = 0.8;

	/**
	 * Share of its planned layers below which an engine's range is extended once no layer
	 * is missing. A repair may leave an engine with a few layers.
	 */
	private static final double SMALL_RANGE_SHARE = 0.5;

	/** Factor on the median number of layers from which an engine counts as large. */
	private static final double LARGE_ENGINE_FACTOR = 1.5;

	/**
	 * Longest run of layers between two ranges that a plan avoids, if others are equal.
	 */
	private static final int SHORT_RUN = 2;

	/**
	 * Replicas on large engines that are accepted to avoid a short run, for each layer.
	 */
	private static final int SHORT_RUN_COST = 1;

	/** Passes over the first plan that remove layers with fewer replicas. */
	private static final int SMOOTHING_PASSES = 4;

	/** Shifts of a range that are tried to remove a single-layer remainder. */
	private static final int[] SMOOTHING_SHIFTS = { 1, -1, 2, -2, 3, -3 };

	private final EngineSpec engine;

	private final List<PlacementGroup> groups = new ArrayList<>();

	/** The ranges to order, by identity of the endpoint. */
	private final Map<String, LayerRange> orders = new HashMap<>();

	/** Why they are ordered, by identity of the endpoint. */
	private final Map<String, OrderCause> causes = new HashMap<>();

	private final Spread spread;

	private LayerPlanner(EngineSpec engine, List<EnginePlacement> placements, Spread spread) {
		this.engine = engine;
		this.spread = spread;
		for (List<EnginePlacement> group : groupByDataCentre(engine, placements)) {
			this.groups.add(new PlacementGroup(engine, group, computeWeightShare(engine, group)));
		}
	}

	/**
	 * Plans layers for hosts that hold none, and closes gaps: layers that no host of a
	 * group holds.
	 * @param engine the model engine: its layers, their size and the accelerator kinds
	 * @param placements the current placements on hosts that are alive and not leaving
	 * @return the ranges to order, by identity of the endpoint; empty if nothing changes
	 */
	public static Map<String, LayerRange> plan(EngineSpec engine, List<EnginePlacement> placements) {
		return planWithCauses(engine, placements).ranges();
	}

	/**
	 * Plans as {@link #plan} does, and tells why.
	 * @param engine the model engine: its layers, their size and the accelerator kinds
	 * @param placements the current placements on hosts that are alive and not leaving
	 * @return the ranges to order and their causes; empty if nothing changes
	 */
	static PlannedOrders planWithCauses(EngineSpec engine, List<EnginePlacement> placements) {
		LayerPlanner planner = new LayerPlanner(engine, placements, Spread.FIRST_LAYERS);
		planner.placeFirst();
		if (!planner.orders.isEmpty()) {
			for (Spread spread : List.of(Spread.FEWEST_REPLICAS, Spread.LEAST_CACHE)) {
				LayerPlanner other = new LayerPlanner(engine, placements, spread);
				other.placeFirst();
				planner = (other.usableCacheMb() > planner.usableCacheMb()) ? other : planner;
			}
		}
		planner.completePlan();
		return new PlannedOrders(planner.orders, planner.causes);
	}

	// Paths stay in one data centre where they can, so that each group counts by itself.
	private double usableCacheMb() {
		return this.groups.stream()
			.mapToDouble((group) -> PlanCapacity.cacheForEachLayerMb(this.engine, group.placements(), this.orders))
			.sum();
	}

	private void completePlan() {
		closeGapsOfAllGroups();
		this.groups.forEach(this::placeEmptyEngines);
		this.groups.forEach(this::closeGaps);
		if (this.orders.isEmpty()) {
			this.groups.forEach(this::extendSmallRange);
		}
	}

	// First all groups get one replica of each layer; then the other engines follow. The
	// largest engines of all groups get different layers where possible: they carry most
	// streams and may fail together.
	private void placeFirst() {
		List<PlacementGroup> unplaced = this.groups.stream().filter(PlacementGroup::isUnplaced).toList();
		if (unplaced.isEmpty()) {
			return;
		}
		int[] sizes = this.groups.stream()
			.flatMapToInt((group) -> group.placements().stream().mapToInt(group::plannedSize))
			.sorted()
			.toArray();
		double[] largeReplicas = new double[this.engine.layers()];
		for (PlacementGroup group : unplaced) {
			for (EnginePlacement placement : largestFirst(group)) {
				if (IntStream.of(group.replicas()).min().orElse(0) > 0) {
					break;
				}
				int size = group.plannedSize(placement);
				boolean large = size > LARGE_ENGINE_FACTOR * sizes[sizes.length / 2];
				LayerRange range = leastCovered(group.replicas(), size,
						(large) ? largeReplicas : new double[this.engine.layers()]);
				order(group, placement, range, OrderCause.EMPTY);
				for (int layer = range.from(); layer < range.to(); layer++) {
					largeReplicas[layer] += (large) ? 1 : 0;
				}
			}
		}
		placeFurtherReplicas(unplaced);
		unplaced.forEach(this::smooth);
	}

	// Engines beyond the first replica of each layer in a group go where all groups have
	// least, so that no layer depends on few engines or has room for fewer streams.
	private void placeFurtherReplicas(List<PlacementGroup> unplaced) {
		double[] weights = new double[this.engine.layers()];
		for (PlacementGroup group : unplaced) {
			for (EnginePlacement placement : group.placements()) {
				addWeight(weights, placement);
			}
		}
		for (PlacementGroup group : unplaced) {
			for (EnginePlacement placement : largestFirst(group)) {
				order(group, placement, leastCovered(group.replicas(), group.plannedSize(placement), weights),
						OrderCause.EMPTY);
				addWeight(weights, placement);
			}
		}
	}

	// Adds a replica, weighted by the KV cache that its engine has for the layer in units
	// of a layer's weights.
	private void addWeight(double[] weights, EnginePlacement placement) {
		LayerRange range = this.orders.get(placement.id());
		if (range != null) {
			double cacheMb = placement.kind().memoryMb() / range.size() - this.engine.layerMb();
			for (int layer = range.from(); layer < range.to(); layer++) {
				weights[layer] += this.spread.weight(cacheMb / this.engine.layerMb());
			}
		}
	}

	// Removes single layers that fewer ranges reach than their neighbours, by extending a
	// range that ends there.
	private void smooth(PlacementGroup group) {
		for (int pass = 0; pass < SMOOTHING_PASSES; pass++) {
			for (int layer = 0; layer < this.engine.layers(); layer++) {
				if (isSingleLayerRemainder(group.replicas(), layer)) {
					extendOver(group, layer);
				}
			}
		}
	}

	/**
	 * Tells whether a layer has fewer replicas than each of its neighbours.
	 * @param replicas replicas by layer
	 * @param layer the layer
	 * @return whether only a part of the ranges around it reaches it
	 */
	static boolean isSingleLayerRemainder(int[] replicas, int layer) {
		boolean lowerThanPrevious = layer == 0 || replicas[layer] < replicas[layer - 1];
		boolean lowerThanNext = layer + 1 == replicas.length || replicas[layer] < replicas[layer + 1];
		return replicas.length > 1 && lowerThanPrevious && lowerThanNext;
	}

	// Extends a range that ends at the layer, shifts it, or extends it into the memory
	// that a plan otherwise leaves to the KV cache, in this order.
	private void extendOver(PlacementGroup group, int layer) {
		List<EnginePlacement> adjacent = group.placements().stream().filter((placement) -> {
			LayerRange range = this.orders.get(placement.id());
			return range != null && range.size() > 0 && (range.to() == layer || range.from() == layer + 1);
		}).toList();
		boolean done = adjacent.stream().anyMatch((placement) -> extend(group, placement, layer, true))
				|| IntStream.of(SMOOTHING_SHIFTS)
					.anyMatch((shift) -> adjacent.stream().anyMatch((placement) -> shift(group, placement, shift)))
				|| adjacent.stream().anyMatch((placement) -> extend(group, placement, layer, false));
		if (!done) {
			adjacent.stream().anyMatch((placement) -> shiftWithNeighbour(group, placement, layer));
		}
	}

	private boolean extend(PlacementGroup group, EnginePlacement placement, int layer, boolean asPlanned) {
		LayerRange range = this.orders.get(placement.id());
		int largest = (asPlanned) ? group.largestPlannedSize(placement) : GapRepair.maxLayers(this.engine, placement);
		return range.size() < largest && improves(group, Map.of(placement.id(), extended(range, layer)));
	}

	private boolean shift(PlacementGroup group, EnginePlacement placement, int shift) {
		LayerRange range = this.orders.get(placement.id());
		int from = range.from() + shift;
		return from >= 0 && from + range.size() <= this.engine.layers()
				&& improves(group, Map.of(placement.id(), new LayerRange(from, from + range.size())));
	}

	// Shifts a range towards the layer, and extends another one over the layer that it
	// leaves.
	private boolean shiftWithNeighbour(PlacementGroup group, EnginePlacement placement, int layer) {
		LayerRange range = this.orders.get(placement.id());
		int shift = (range.to() == layer) ? 1 : -1;
		int released = (shift > 0) ? range.from() : range.to() - 1;
		for (EnginePlacement other : group.placements()) {
			LayerRange neighbour = this.orders.get(other.id());
			if (other != placement && neighbour != null && neighbour.size() > 0
					&& (neighbour.to() == released || neighbour.from() == released + 1)
					&& neighbour.size() < GapRepair.maxLayers(this.engine, other)
					&& improves(group, Map.of(placement.id(), new LayerRange(range.from() + shift, range.to() + shift),
							other.id(), extended(neighbour, released)))) {
				return true;
			}
		}
		return false;
	}

	private static LayerRange extended(LayerRange range, int layer) {
		return new LayerRange(Math.min(range.from(), layer), Math.max(range.to(), layer + 1));
	}

	// Changes planned ranges if that leaves fewer single-layer remainders and no layer
	// with fewer replicas than any had before.
	private boolean improves(PlacementGroup group, Map<String, LayerRange> changes) {
		int[] changed = group.replicas().clone();
		changes.forEach((id, range) -> {
			PlacementGroup.add(changed, this.orders.get(id), -1);
			PlacementGroup.add(changed, range, 1);
		});
		int leastBefore = IntStream.of(group.replicas()).min().orElse(0);
		if (countRemainders(changed) >= countRemainders(group.replicas())
				|| IntStream.of(changed).min().orElse(0) < leastBefore) {
			return false;
		}
		System.arraycopy(changed, 0, group.replicas(), 0, changed.length);
		this.orders.putAll(changes);
		return true;
	}

	private static long countRemainders(int[] replicas) {
		return IntStream.range(0, replicas.length).filter((layer) -> isSingleLayerRemainder(replicas, layer)).count();
	}

	// The ranges of one data centre are adjacent, so that a path seldom changes it.
	private List<EnginePlacement> largestFirst(PlacementGroup group) {
		return group.placements()
			.stream()
			.filter((placement) -> placement.layers().isEmpty() && !placement.suspected()
					&& !this.orders.containsKey(placement.id()) && group.plannedSize(placement) > 0)
			.sorted(Comparator.comparing(EnginePlacement::dataCentre)
				.thenComparingInt((placement) -> -group.plannedSize(placement))
				.thenComparing(EnginePlacement::id))
			.toList();
	}

	private void placeEmptyEngines(PlacementGroup group) {
		for (EnginePlacement placement : largestFirst(group)) {
			order(group, placement,
					leastCovered(group.replicas(), group.plannedSize(placement), new double[this.engine.layers()]),
					OrderCause.EMPTY);
		}
	}

	private void order(PlacementGroup group, EnginePlacement placement, LayerRange range, OrderCause cause) {
		group.recordOrder(placement, range);
		this.orders.put(placement.id(), range);
		this.causes.put(placement.id(), cause);
	}

	private int[] replicasOfAllGroups() {
		int[] replicas = new int[this.engine.layers()];
		for (PlacementGroup group : this.groups) {
			for (int layer = 0; layer < replicas.length; layer++) {
				replicas[layer] += group.replicas()[layer];
			}
		}
		return replicas;
	}

	// Layers that no engine of any group holds stop all streams. Engines of other groups
	// help where a group cannot close the gap, or only much later.
	private void closeGapsOfAllGroups() {
		for (LayerRange gap : PlacementGroup.runsUpTo(replicasOfAllGroups(), 0)) {
			GapRepair.Repair best = null;
			List<PlacementGroup> bestGroups = List.of();
			for (PlacementGroup group : this.groups) {
				Optional<GapRepair.Repair> repair = findRepair(gap, List.of(group), true);
				if (repair.isPresent() && (best == null || repair.get().isBetterThan(best))) {
					best = repair.get();
					bestGroups = List.of(group);
				}
			}
			if ((best == null || !best.inTime()) && this.groups.size() > 1) {
				Optional<GapRepair.Repair> repair = findRepair(gap, this.groups, true);
				if (repair.isPresent() && (best == null || repair.get().isBetterThan(best))) {
					best = repair.get();
					bestGroups = this.groups;
				}
			}
			if (best != null) {
				apply(best, bestGroups, OrderCause.GAP_EVERYWHERE);
			}
		}
	}

	private void closeGaps(PlacementGroup group) {
		if (group.isUnplaced()) {
			return;
		}
		for (LayerRange gap : PlacementGroup.runsUpTo(group.replicas(), 0)) {
			findRepair(gap, List.of(group), false)
				.ifPresent((repair) -> apply(repair, List.of(group), OrderCause.GAP_IN_GROUP));
		}
	}

	private Optional<GapRepair.Repair> findRepair(LayerRange gap, List<PlacementGroup> among, boolean stopsStreams) {
		return new GapRepair(this.engine, among, this.orders.keySet()).find(gap, stopsStreams);
	}

	private void apply(GapRepair.Repair repair, List<PlacementGroup> among, OrderCause cause) {
		for (GapRepair.Step step : repair.steps()) {
			order(among.get(step.candidate().group()), step.candidate().placement(), step.range(), cause);
		}
	}

	// Extends one engine at a time, since it has less KV cache for its streams
	// afterwards.
	private void extendSmallRange(PlacementGroup group) {
		if (group.placements().stream().anyMatch(EnginePlacement::orderPending)) {
			return;
		}
		for (EnginePlacement placement : group.placements()) {
			int held = placement.layers().map(LayerRange::size).orElse(0);
			int size = Math.min(group.plannedSize(placement), GapRepair.maxLayers(this.engine, placement));
			if (held > 0 && held <= SMALL_RANGE_SHARE * size && !placement.suspected()) {
				order(group, placement, leastCoveredAround(group.replicas(), placement.layers().get(), size),
						OrderCause.SMALL_RANGE);
				return;
			}
		}
	}

	private static LayerRange leastCoveredAround(int[] replicas, LayerRange held, int size) {
		LayerRange best = held;
		int bestSum = Integer.MAX_VALUE;
		int last = Math.min(held.from(), replicas.length - size);
		for (int from = Math.max(0, held.to() - size); from <= last; from++) {
			int sum = sum(replicas, new LayerRange(from, from + size));
			if (sum < bestSum) {
				best = new LayerRange(from, from + size);
				bestSum = sum;
			}
		}
		return best;
	}

	private static double computeWeightShare(EngineSpec engine, List<EnginePlacement> group) {
		double layers = 0;
		for (EnginePlacement placement : group) {
			layers += placement.kind().memoryMb() / engine.layerMb();
		}
		if (layers == 0) {
			return 0;
		}
		double layerCacheMb = engine.slots() * engine.usualCacheMbPerLayer();
		double shareBesideFullSlots = engine.layerMb() / (engine.layerMb() + layerCacheMb);
		return Math.min(MAX_WEIGHT_SHARE, Math.max(MIN_REPLICAS * engine.layers() / layers, shareBesideFullSlots));
	}

	// Returns the range of the given size that covers most layers with the fewest
	// replicas and, among equals, has the fewest replicas, then the fewest others to be
	// avoided.
	private static LayerRange leastCovered(int[] replicas, int size, double[] avoided) {
		int least = IntStream.of(replicas).min().orElse(0);
		LayerRange best = new LayerRange(0, size);
		int bestLeast = -1;
		int bestReplicas = Integer.MAX_VALUE;
		double bestAvoided = Double.MAX_VALUE;
		for (int from = 0; from + size <= replicas.length; from++) {
			LayerRange range = new LayerRange(from, from + size);
			int leastCount = 0;
			for (int layer = range.from(); layer < range.to(); layer++) {
				leastCount += (replicas[layer] == least) ? 1 : 0;
			}
			int replicaSum = sum(replicas, range);
			double avoidedSum = (leavesShortRun(replicas, range, least)) ? SHORT_RUN_COST * size : 0;
			for (int layer = range.from(); layer < range.to(); layer++) {
				avoidedSum += avoided[layer];
			}
			boolean better = (leastCount != bestLeast) ? leastCount > bestLeast
					: (replicaSum != bestReplicas) ? replicaSum < bestReplicas : avoidedSum < bestAvoided;
			if (better) {
				best = range;
				bestLeast = leastCount;
				bestReplicas = replicaSum;
				bestAvoided = avoidedSum;
			}
		}
		return best;
	}

	// Tells whether a range leaves only a few layers with the fewest replicas beside it,
	// for which other engines would give up more layers than they gain.
	private static boolean leavesShortRun(int[] replicas, LayerRange range, int least) {
		int before = range.from();
		while (before > 0 && replicas[before - 1] == least) {
			before--;
		}
		int after = range.to();
		while (after < replicas.length && replicas[after] == least) {
			after++;
		}
		int runBefore = range.from() - before;
		int runAfter = after - range.to();
		return (runBefore > 0 && runBefore <= SHORT_RUN) || (runAfter > 0 && runAfter <= SHORT_RUN);
	}

	private static int sum(int[] replicas, LayerRange range) {
		int sum = 0;
		for (int layer = range.from(); layer < range.to(); layer++) {
			sum += replicas[layer];
		}
		return sum;
	}

	// Returns the data centres that can hold the model alone, and one group of all
	// others. A group never counts on the layers of another one: the links between data
	// centres carry far fewer streams than the engines of one.
	static List<List<EnginePlacement>> groupByDataCentre(EngineSpec engine, List<EnginePlacement> placements) {
		Map<String, List<EnginePlacement>> byDataCentre = new TreeMap<>();
		for (EnginePlacement placement : placements) {
			byDataCentre.computeIfAbsent(placement.dataCentre(), (name) -> new ArrayList<>()).add(placement);
		}
		List<List<EnginePlacement>> groups = new ArrayList<>();
		List<EnginePlacement> rest = new ArrayList<>();
		for (List<EnginePlacement> group : byDataCentre.values()) {
			if (canHoldModel(engine, group)) {
				groups.add(group);
			}
			else {
				rest.addAll(group);
			}
		}
		if (!rest.isEmpty()) {
			groups.add(rest);
		}
		return groups;
	}

	private static boolean canHoldModel(EngineSpec engine, List<EnginePlacement> group) {
		double layers = 0;
		for (EnginePlacement placement : group) {
			layers += Math.floor(placement.kind().memoryMb() * MAX_WEIGHT_SHARE / engine.layerMb());
		}
		return layers >= engine.layers();
	}

	/** Where replicas beyond the first of each layer go in the first plan. */
	private enum Spread {

		/** To the first layers. */
		FIRST_LAYERS,

		/** To the layers of which all groups have the fewest replicas. */
		FEWEST_REPLICAS,

		/** To the layers for which all groups have the least KV cache. */
		LEAST_CACHE;

		double weight(double cache) {
			return switch (this) {
				case FIRST_LAYERS -> 0;
				case FEWEST_REPLICAS -> 1;
				case LEAST_CACHE -> cache;
			};
		}

	}

	/**
	 * The outcome of a planning round.
	 *
	 * @param ranges the ranges to order, by identity of the endpoint
	 * @param causes why they are ordered, by identity of the endpoint
	 */
	record PlannedOrders(Map<String, LayerRange> ranges, Map<String, OrderCause> causes) {
	}

	/** Why an engine is ordered to hold other layers. */
	enum OrderCause {

		/** It held none. */
		EMPTY,

		/** No engine of any data centre held some layers. */
		GAP_EVERYWHERE,

		/** No engine of its group held some layers. */
		GAP_IN_GROUP,

		/** It held far fewer layers than its memory is planned for. */
		SMALL_RANGE

	}

	/**
	 * The layers that one host holds now, and what the planner needs to know of the host.
	 *
	 * @param id identity of the engine's endpoint
	 * @param dataCentre the data centre
	 * @param kind the accelerator kind
	 * @param layers the layers that it holds or is loading; empty if none
	 * @param orderPending whether an order to it is still in progress
	 * @param streamCount number of streams that run through it
	 * @param suspected whether it does not respond, so that its layers do not count and
	 * it gets no orders
	 */
	public record EnginePlacement(String id, String dataCentre, AcceleratorKind kind, Optional<LayerRange> layers,
			boolean orderPending, int streamCount, boolean suspected) {

		/**
		 * Creates the placement of an engine that responds.
		 * @param id identity of the engine's endpoint
		 * @param dataCentre the data centre
		 * @param kind the accelerator kind
		 * @param layers the layers that it holds or is loading; empty if none
		 * @param orderPending whether an order to it is still in progress
		 * @param streamCount number of streams that run through it
		 */
		public EnginePlacement(String id, String dataCentre, AcceleratorKind kind, Optional<LayerRange> layers,
				boolean orderPending, int streamCount) {
			this(id, dataCentre, kind, layers, orderPending, streamCount, false);
		}

	}

}
