package org.comfreyslip.entry.layers;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;

import org.comfreyslip.entry.layers.LayerPlanner.EnginePlacement;
import org.comfreyslip.entry.model.AcceleratorKind;
import org.comfreyslip.entry.model.EngineSpec;
import org.comfreyslip.entry.model.LayerRange;

/**
 * Tells how many streams of mean length some engines have KV cache for. A stream needs
 * cache in each layer, on any of the engines that hold it. Ranges are contiguous, so that
 * it is optimal to serve the layers in ascending order, each with the engines whose range
 * ends first.
 */
final class StreamCapacity {

	private final EngineSpec engine;

	/** The engines with a cache, those whose range ends first at the front. */
	private final List<Holder> holders;

	private StreamCapacity(EngineSpec engine, List<Holder> holders) {
		this.engine = engine;
		this.holders = holders;
	}

	/**
	 * Creates the capacity of engines with the layers that they hold now.
	 * @param engine the model engine
	 * @param placements the engines; those without layers are left out
	 * @return the capacity
	 */
	static StreamCapacity of(EngineSpec engine, List<EnginePlacement> placements) {
		return new StreamCapacity(engine,
				placements.stream()
					.filter((placement) -> placement.layers().isPresent())
					.map((placement) -> holder(engine, placement, placement.layers().get()))
					.sorted(Comparator.comparingInt((holder) -> holder.range().to()))
					.toList());
	}

	private static Holder holder(EngineSpec engine, EnginePlacement placement, LayerRange range) {
		return new Holder(placement.id(), range, streamLayers(engine, placement.kind(), range.size()));
	}

	/**
	 * Returns the KV cache that streams may use on an engine.
	 * @param engine the model engine
	 * @param kind the engine's accelerator kind
	 * @param layers number of layers that it holds
	 * @return the capacity in streams of mean length times layers
	 */
	static double streamLayers(EngineSpec engine, AcceleratorKind kind, int layers) {
		return PathFinder.MAX_KV_CACHE_SHARE * engine.kvCapacityTokenLayers(kind, layers)
				/ Math.max(1, engine.meanPromptTokens() + engine.meanResponseTokens());
	}

	/**
	 * Returns the capacity if one engine held other layers.
	 * @param placement the engine
	 * @param range the layers that it would hold
	 * @return the capacity with the engine's KV cache beside these layers
	 */
	StreamCapacity with(EnginePlacement placement, LayerRange range) {
		List<Holder> changed = new ArrayList<>(this.holders.size() + 1);
		Holder added = holder(this.engine, placement, range);
		for (Holder holder : this.holders) {
			if (added != null && added.range().to() <= holder.range().to()) {
				changed.add(added);
				added = null;
			}
			if (!holder.id().equals(placement.id())) {
				changed.add(holder);
			}
		}
		if (added != null) {
			changed.add(added);
		}
		return new StreamCapacity(this.engine, changed);
	}

	/**
	 * Returns the largest number of streams that have room at the same time.
	 * @return the number of streams; 0 if the engines do not hold all layers
	 */
	int streams() {
		int low = 0;
		int high = (int) (this.holders.stream().mapToDouble(Holder::streamLayers).sum() / this.engine.layers());
		while (low < high) {
			int middle = low + (high - low + 1) / 2;
			if (carries(middle)) {
				low = middle;
			}
			else {
				high = middle - 1;
			}
		}
		return low;
	}

	/**
	 * Tells whether a number of streams has room at the same time.
	 * @param streams the number of streams
	 * @return whether each layer can have cache for all of them
	 */
	boolean carries(int streams) {
		double[] left = this.holders.stream().mapToDouble(Holder::streamLayers).toArray();
		int first = 0;
		for (int layer = 0; layer < this.engine.layers(); layer++) {
			while (first < left.length && this.holders.get(first).range().to() <= layer) {
				first++;
			}
			double needed = streams;
			for (int index = first; index < left.length && needed > 0; index++) {
				if (left[index] > 0 && this.holders.get(index).range().from() <= layer) {
					double taken = Math.min(needed, left[index]);
					left[index] -= taken;
					needed -= taken;
				}
			}
			if (needed > 0) {
				return false;
			}
		}
		return true;
	}

	/**
	 * An engine that holds layers.
	 *
	 * @param id identity of its endpoint
	 * @param range the layers
	 * @param streamLayers KV cache beside them, in streams times layers
	 */
	private record Holder(String id, LayerRange range, double streamLayers) {
	}

}
