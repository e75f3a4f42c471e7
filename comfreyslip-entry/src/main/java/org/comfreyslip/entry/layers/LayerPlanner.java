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
 * Plans which layers each host holds. The hosts of a data centre hold all layers together
 * where their memory allows it, because the pipe between data centres carries the
 * activations of every token. Beyond one copy, layers overlap, so that the loss of a host
 * leaves another path; the rest of the memory is KV cache.
 */
public final class LayerPlanner {

	/**
	 * Copies of each layer aimed at in one group. More copies leave too little KV cache
	 * for the usual streams.
	 */
	static final double TARGET_COPIES = 1.25;

	/**
	 * Largest share of a host's memory that weights take; the rest holds the KV cache.
	 */
	static final double MAX_WEIGHT_SHARE = 0.8;

	/**
	 * Copies that the memory of a group must allow, so that the group is planned alone.
	 */
	static final double MIN_GROUP_COPIES = 1.05;

	private LayerPlanner() {
	}

	/**
	 * Plans the layers of hosts that hold none, and moves hosts whose layers others hold
	 * too where a layer has no holder.
	 * @param engine the engine
	 * @param hosts the hosts that live and stay
	 * @return the ranges to order by host
	 */
	public static Map<String, LayerRange> plan(EngineSpec engine, List<Holder> hosts) {
		Map<String, LayerRange> orders = new HashMap<>();
		for (List<Holder> group : groups(engine, hosts)) {
			planGroup(engine, group, orders);
		}
		return orders;
	}

	private static void planGroup(EngineSpec engine, List<Holder> group, Map<String, LayerRange> orders) {
		double share = weightShare(engine, group);
		int[] copies = new int[engine.layers()];
		int[] loaded = new int[engine.layers()];
		List<Holder> empty = new ArrayList<>();
		for (Holder holder : group) {
			if (holder.layers().isPresent()) {
				count(copies, holder.layers().get(), 1);
				if (!holder.moving()) {
					count(loaded, holder.layers().get(), 1);
				}
			}
			else {
				empty.add(holder);
			}
		}
		empty.sort(Comparator.<Holder>comparingInt((holder) -> -size(engine, holder, share)).thenComparing(Holder::id));
		for (Holder holder : empty) {
			int size = size(engine, holder, share);
			if (size > 0) {
				LayerRange range = leastCovered(copies, size);
				count(copies, range, 1);
				orders.put(holder.id(), range);
			}
		}
		moveRedundant(engine, group, new Coverage(copies, loaded), share, orders);
	}

	// Moves holders whose layers are all held by others too. A move that opens another
	// gap would start a chain of moves.
	private static void moveRedundant(EngineSpec engine, List<Holder> group, Coverage coverage, double share,
			Map<String, LayerRange> orders) {
		LayerRange all = new LayerRange(0, engine.layers());
		while (uncovered(coverage.copies(), all) > 0) {
			Optional<Holder> best = bestMove(engine, group, coverage, share, orders);
			if (best.isEmpty()) {
				return;
			}
			count(coverage.copies(), best.get().layers().orElseThrow(), -1);
			count(coverage.loaded(), best.get().layers().orElseThrow(), -1);
			LayerRange range = leastCovered(coverage.copies(), size(engine, best.get(), share));
			count(coverage.copies(), range, 1);
			orders.put(best.get().id(), range);
		}
	}

	// The fastest holder of a range carries most streams, so its move costs them twice:
	// they break, and go on over slower hosts.
	private static Optional<Holder> bestMove(EngineSpec engine, List<Holder> group, Coverage coverage, double share,
			Map<String, LayerRange> orders) {
		List<Holder> settled = group.stream()
			.filter((holder) -> holder.layers().isPresent() && !holder.moving() && !orders.containsKey(holder.id()))
			.toList();
		Move best = null;
		for (Holder holder : settled) {
			if (!isRedundant(coverage.loaded(), holder.layers().get())) {
				continue;
			}
			int gain = uncovered(coverage.copies(), leastCovered(coverage.copies(), size(engine, holder, share)));
			Move move = new Move(holder, slowdown(holder, settled), gain);
			if (gain > 0 && (best == null || move.compareTo(best) < 0)) {
				best = move;
			}
		}
		return Optional.ofNullable(best).map(Move::holder);
	}

	// Returns how much slower the layers of a holder run on the others, in units of the
	// step factor.
	private static double slowdown(Holder holder, List<Holder> settled) {
		double sum = 0;
		LayerRange range = holder.layers().orElseThrow();
		for (int layer = range.from(); layer < range.to(); layer++) {
			double fastest = Double.MAX_VALUE;
			for (Holder other : settled) {
				if (other != holder && other.layers().orElseThrow().contains(layer)) {
					fastest = Math.min(fastest, other.kind().stepFactor());
				}
			}
			sum += Math.max(0, fastest - holder.kind().stepFactor());
		}
		return sum;
	}

	private static boolean isRedundant(int[] copies, LayerRange range) {
		for (int layer = range.from(); layer < range.to(); layer++) {
			if (copies[layer] < 2) {
				return false;
			}
		}
		return true;
	}

	private static double weightShare(EngineSpec engine, List<Holder> group) {
		double layers = 0;
		for (Holder holder : group) {
			layers += holder.kind().memoryMb() / engine.layerMb();
		}
		return (layers > 0) ? Math.min(MAX_WEIGHT_SHARE, TARGET_COPIES * engine.layers() / layers) : 0;
	}

	private static int size(EngineSpec engine, Holder holder, double share) {
		long size = Math.round(holder.kind().memoryMb() * share / engine.layerMb());
		return (int) Math.min(size, engine.maxLayers(holder.kind()));
	}

	// Returns the window that covers most layers without a holder, then the fewest
	// copies.
	private static LayerRange leastCovered(int[] copies, int size) {
		LayerRange best = new LayerRange(0, size);
		int bestUncovered = -1;
		int bestCopies = Integer.MAX_VALUE;
		for (int from = 0; from + size <= copies.length; from++) {
			LayerRange range = new LayerRange(from, from + size);
			int uncovered = uncovered(copies, range);
			int sum = 0;
			for (int layer = range.from(); layer < range.to(); layer++) {
				sum += copies[layer];
			}
			if (uncovered > bestUncovered || (uncovered == bestUncovered && sum < bestCopies)) {
				best = range;
				bestUncovered = uncovered;
				bestCopies = sum;
			}
		}
		return best;
	}

	private static int uncovered(int[] copies, LayerRange range) {
		int uncovered = 0;
		for (int layer = range.from(); layer < range.to(); layer++) {
			uncovered += (copies[layer] == 0) ? 1 : 0;
		}
		return uncovered;
	}

	private static void count(int[] copies, LayerRange range, int step) {
		for (int layer = range.from(); layer < range.to(); layer++) {
			copies[layer] += step;
		}
	}

	// Data centres that can hold the model alone, and one group of all others.
	static List<List<Holder>> groups(EngineSpec engine, List<Holder> hosts) {
		Map<String, List<Holder>> byDataCentre = new TreeMap<>();
		for (Holder holder : hosts) {
			byDataCentre.computeIfAbsent(holder.dataCentre(), (name) -> new ArrayList<>()).add(holder);
		}
		List<List<Holder>> groups = new ArrayList<>();
		List<Holder> rest = new ArrayList<>();
		for (List<Holder> group : byDataCentre.values()) {
			if (copies(engine, group) >= MIN_GROUP_COPIES) {
				groups.add(group);
			}
			else {
				rest.addAll(group);
			}
		}
		if (rest.isEmpty()) {
			return groups;
		}
		if (!groups.isEmpty() && copies(engine, rest) < MIN_GROUP_COPIES) {
			groups.get(0).addAll(rest);
		}
		else {
			groups.add(rest);
		}
		return groups;
	}

	private static double copies(EngineSpec engine, List<Holder> group) {
		double layers = 0;
		for (Holder holder : group) {
			layers += Math.floor(holder.kind().memoryMb() * MAX_WEIGHT_SHARE / engine.layerMb());
		}
		return layers / engine.layers();
	}

	/**
	 * Copies of each layer in a group.
	 *
	 * @param copies copies that are loaded or being loaded
	 * @param loaded copies that are loaded
	 */
	private record Coverage(int[] copies, int[] loaded) {
	}

	/**
	 * A holder that may give up its layers. The natural order begins with the move that
	 * harms streams least.
	 *
	 * @param holder the holder
	 * @param slowdown how much slower its layers run on the others, in units of the step
	 * factor
	 * @param gain layers without a holder that it would take
	 */
	private record Move(Holder holder, double slowdown, int gain) implements Comparable<Move> {

		@Override
		public int compareTo(Move other) {
			return Comparator.comparingDouble(Move::slowdown)
				.thenComparingInt((move) -> move.holder().streams())
				.thenComparingInt((move) -> -move.gain())
				.thenComparing((move) -> move.holder().id())
				.compare(this, other);
		}

	}

	/**
	 * A host that holds or may hold layers.
	 *
	 * @param id the endpoint's identity
	 * @param dataCentre the data centre
	 * @param kind the accelerator kind
	 * @param layers the layers that it holds or loads; empty if none
	 * @param moving whether an order to it is not settled yet
	 * @param streams streams that run through it
	 */
	public record Holder(String id, String dataCentre, AcceleratorKind kind, Optional<LayerRange> layers,
			boolean moving, int streams) {
	}

}
