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
 * that another path remains when a host is lost; the rest of the memory is KV cache.
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

	private LayerPlanner() {
	}

	/**
	 * Plans layers for hosts that hold none. While a layer has no replica, also moves
	 * hosts whose layers all have other replicas.
	 * @param engine the model engine: its layers, their size and the accelerator kinds
	 * @param placements the current placements on hosts that are alive and not leaving
	 * @return the ranges to order, by identity of the endpoint; empty if nothing changes
	 */
	public static Map<String, LayerRange> plan(EngineSpec engine, List<EnginePlacement> placements) {
		Map<String, LayerRange> orders = new HashMap<>();
		for (List<EnginePlacement> group : groupByDataCentre(engine, placements)) {
			planGroup(engine, group, orders);
		}
		return orders;
	}

	private static void planGroup(EngineSpec engine, List<EnginePlacement> group, Map<String, LayerRange> orders) {
		double weightShare = computeWeightShare(engine, group);
		int[] replicas = new int[engine.layers()];
		int[] loadedReplicas = new int[engine.layers()];
		List<EnginePlacement> emptyEngines = new ArrayList<>();
		for (EnginePlacement placement : group) {
			if (placement.layers().isPresent()) {
				addReplicas(replicas, placement.layers().get(), 1);
				if (!placement.orderPending()) {
					addReplicas(loadedReplicas, placement.layers().get(), 1);
				}
			}
			else {
				emptyEngines.add(placement);
			}
		}
		// The ranges of one data centre are adjacent, so that a path seldom changes it.
		emptyEngines.sort(Comparator.comparing(EnginePlacement::dataCentre)
			.thenComparingInt((placement) -> -layerCapacity(engine, placement, weightShare))
			.thenComparing(EnginePlacement::id));
		for (EnginePlacement placement : emptyEngines) {
			int size = layerCapacity(engine, placement, weightShare);
			if (size > 0) {
				LayerRange range = leastCovered(replicas, size);
				addReplicas(replicas, range, 1);
				orders.put(placement.id(), range);
			}
		}
		moveRedundantEngines(engine, group, new Coverage(replicas, loadedReplicas), weightShare, orders);
	}

	// Moves engines whose layers all have other replicas. A move that leaves another
	// layer without a replica would start a chain of moves.
	private static void moveRedundantEngines(EngineSpec engine, List<EnginePlacement> group, Coverage coverage,
			double weightShare, Map<String, LayerRange> orders) {
		LayerRange all = new LayerRange(0, engine.layers());
		while (countUncovered(coverage.replicas(), all) > 0) {
			Optional<EnginePlacement> best = findBestMove(engine, group, coverage, weightShare, orders);
			if (best.isEmpty()) {
				return;
			}
			addReplicas(coverage.replicas(), best.get().layers().orElseThrow(), -1);
			addReplicas(coverage.loadedReplicas(), best.get().layers().orElseThrow(), -1);
			LayerRange range = leastCovered(coverage.replicas(), layerCapacity(engine, best.get(), weightShare));
			addReplicas(coverage.replicas(), range, 1);
			orders.put(best.get().id(), range);
		}
	}

	// The fastest engine of a range carries most streams, so moving it costs them twice:
	// they are broken off, and continue on slower hosts.
	private static Optional<EnginePlacement> findBestMove(EngineSpec engine, List<EnginePlacement> group,
			Coverage coverage, double weightShare, Map<String, LayerRange> orders) {
		List<EnginePlacement> movable = group.stream()
			.filter((placement) -> placement.layers().isPresent() && !placement.orderPending()
					&& !orders.containsKey(placement.id()))
			.toList();
		Move best = null;
		for (EnginePlacement placement : movable) {
			if (!isRedundant(coverage.loadedReplicas(), placement.layers().get())) {
				continue;
			}
			int newlyCoveredLayers = countUncovered(coverage.replicas(),
					leastCovered(coverage.replicas(), layerCapacity(engine, placement, weightShare)));
			Move move = new Move(placement, stepFactorIncrease(placement, movable), newlyCoveredLayers);
			if (newlyCoveredLayers > 0 && (best == null || move.compareTo(best) < 0)) {
				best = move;
			}
		}
		return Optional.ofNullable(best).map(Move::placement);
	}

	// Returns how much slower the layers of an engine run on the fastest other engines
	// that hold them, as the sum of the differences of the step factor over its layers.
	private static double stepFactorIncrease(EnginePlacement placement, List<EnginePlacement> movable) {
		double sum = 0;
		LayerRange range = placement.layers().orElseThrow();
		for (int layer = range.from(); layer < range.to(); layer++) {
			double fastest = Double.MAX_VALUE;
			for (EnginePlacement other : movable) {
				if (other != placement && other.layers().orElseThrow().contains(layer)) {
					fastest = Math.min(fastest, other.kind().stepFactor());
				}
			}
			sum += Math.max(0, fastest - placement.kind().stepFactor());
		}
		return sum;
	}

	private static boolean isRedundant(int[] replicas, LayerRange range) {
		for (int layer = range.from(); layer < range.to(); layer++) {
			if (replicas[layer] < 2) {
				return false;
			}
		}
		return true;
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

	private static int layerCapacity(EngineSpec engine, EnginePlacement placement, double weightShare) {
		long size = Math.round(placement.kind().memoryMb() * weightShare / engine.layerMb());
		return (int) Math.min(size, engine.maxLayers(placement.kind()));
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
			int replicaSum = 0;
			for (int layer = range.from(); layer < range.to(); layer++) {
				replicaSum += replicas[layer];
			}
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

	private static void addReplicas(int[] replicas, LayerRange range, int delta) {
		for (int layer = range.from(); layer < range.to(); layer++) {
			replicas[layer] += delta;
		}
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
	 * Number of replicas of each layer in a group, by layer.
	 *
	 * @param replicas replicas that are loaded or being loaded
	 * @param loadedReplicas replicas that are loaded
	 */
	private record Coverage(int[] replicas, int[] loadedReplicas) {
	}

	/**
	 * A move of an engine to other layers. The natural order begins with the move that
	 * disturbs streams least.
	 *
	 * @param placement the placement that would change
	 * @param stepFactorIncrease how much slower its layers run on other engines, summed
	 * over the layers in units of the step factor
	 * @param newlyCoveredLayers number of layers without a replica that it would hold
	 * after the move
	 */
	private record Move(EnginePlacement placement, double stepFactorIncrease,
			int newlyCoveredLayers) implements Comparable<Move> {

		@Override
		public int compareTo(Move other) {
			return Comparator.comparingDouble(Move::stepFactorIncrease)
				.thenComparingInt((move) -> move.placement().streamCount())
				.thenComparingInt((move) -> -move.newlyCoveredLayers())
				.thenComparing((move) -> move.placement().id())
				.compare(this, other);
		}

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
	 */
	public record EnginePlacement(String id, String dataCentre, AcceleratorKind kind, Optional<LayerRange> layers,
			boolean orderPending, int streamCount) {
	}

}
