package org.comfreyslip.entry.layers;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;

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

	private final EngineSpec engine;

	private final List<PlacementGroup> groups = new ArrayList<>();

	/** The ranges to order, by identity of the endpoint. */
	private final Map<String, LayerRange> orders = new HashMap<>();

	/** Why they are ordered, by identity of the endpoint. */
	private final Map<String, OrderCause> causes = new HashMap<>();

	private LayerPlanner(EngineSpec engine, List<EnginePlacement> placements) {
		this.engine = engine;
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
		LayerPlanner planner = new LayerPlanner(engine, placements);
		planner.completePlan();
		return planner.orders;
	}

	/**
	 * Plans one round: as {@link #plan} does, and if nothing is to be changed, gives
	 * layers at risk one more replica.
	 * @param engine the model engine: its layers, their size and the accelerator kinds
	 * @param placements the current placements on hosts that are alive and not leaving
	 * @return the ranges to order and their causes; empty if nothing changes
	 */
	static PlannedOrders planRoundWithCauses(EngineSpec engine, List<EnginePlacement> placements) {
		LayerPlanner planner = new LayerPlanner(engine, placements);
		planner.completePlan();
		List<Strengthening> decisions = planner.groups.stream()
			.map((group) -> new Strengthening(engine, group))
			.toList();
		if (planner.orders.isEmpty()) {
			for (int index = 0; index < decisions.size(); index++) {
				PlacementGroup group = planner.groups.get(index);
				decisions.get(index)
					.find()
					.ifPresent((extension) -> planner.order(group, extension.placement(), extension.range(),
							OrderCause.AT_RISK));
			}
		}
		return new PlannedOrders(planner.orders, planner.causes,
				decisions.stream().mapToInt(Strengthening::atRiskCount).sum());
	}

	/**
	 * Plans one round as the daemon with the placement duty does.
	 * @param engine the model engine: its layers, their size and the accelerator kinds
	 * @param placements the current placements on hosts that are alive and not leaving
	 * @return the ranges to order, by identity of the endpoint; empty if nothing changes
	 */
	public static Map<String, LayerRange> planRound(EngineSpec engine, List<EnginePlacement> placements) {
		return planRoundWithCauses(engine, placements).ranges();
	}

	private void completePlan() {
		this.groups.stream().filter(PlacementGroup::isUnplaced).forEach(this::placeEmptyEngines);
		closeGapsOfAllGroups();
		this.groups.forEach(this::placeEmptyEngines);
		this.groups.forEach(this::closeGaps);
		if (this.orders.isEmpty()) {
			this.groups.forEach(this::extendSmallRange);
		}
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
			order(group, placement, leastCovered(group.replicas(), group.plannedSize(placement)), OrderCause.EMPTY);
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

	// Returns the range of the given size that covers most layers without a replica and,
	// among equals, has the fewest replicas.
	private static LayerRange leastCovered(int[] replicas, int size) {
		LayerRange best = new LayerRange(0, size);
		int bestUncovered = -1;
		int bestReplicas = Integer.MAX_VALUE;
		for (int from = 0; from + size <= replicas.length; from++) {
			LayerRange range = new LayerRange(from, from + size);
			int uncovered = countUncovered(replicas, range);
			int replicaSum = sum(replicas, range);
			if (uncovered > bestUncovered || (uncovered == bestUncovered && replicaSum < bestReplicas)) {
				best = range;
				bestUncovered = uncovered;
				bestReplicas = replicaSum;
			}
		}
		return best;
	}

	private static int countUncovered(int[] replicas, LayerRange range) {
		int uncovered = 0;
		for (int layer = range.from(); layer < range.to(); layer++) {
			uncovered += (replicas[layer] == 0) ? 1 : 0;
		}
		return uncovered;
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

	/**
	 * The outcome of a planning round.
	 *
	 * @param ranges the ranges to order, by identity of the endpoint
	 * @param causes why they are ordered, by identity of the endpoint
	 * @param layersAtRisk number of layers that were at risk before, in all groups
	 */
	record PlannedOrders(Map<String, LayerRange> ranges, Map<String, OrderCause> causes, int layersAtRisk) {
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
		SMALL_RANGE,

		/** One engine of its group, or only engines with one range, held some layers. */
		AT_RISK

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
