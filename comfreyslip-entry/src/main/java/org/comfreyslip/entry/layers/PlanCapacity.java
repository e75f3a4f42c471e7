package org.comfreyslip.entry.layers;

import java.util.List;
import java.util.Map;

import org.comfreyslip.entry.layers.LayerPlanner.EnginePlacement;
import org.comfreyslip.entry.model.EngineSpec;
import org.comfreyslip.entry.model.LayerRange;

/**
 * Tells how many streams a plan has room for. A stream needs KV cache in each layer, on
 * any of the engines that hold it. By Hall's theorem the layers with least room are those
 * whose engines have least KV cache in all, divided by the number of the layers; the
 * engines hold contiguous ranges, so that runs of layers are compared.
 */
final class PlanCapacity {

	private PlanCapacity() {
	}

	/**
	 * Returns the KV cache that all streams can use in each layer at the same time.
	 * @param engine the model engine
	 * @param placements the engines
	 * @param ranges the planned ranges by identity of the endpoint; the other engines
	 * hold nothing
	 * @return the memory in MB
	 */
	static double cacheForEachLayerMb(EngineSpec engine, List<EnginePlacement> placements,
			Map<String, LayerRange> ranges) {
		int layers = engine.layers();
		double totalMb = 0;
		// KV cache of the engines whose ranges begin, and of those that end, at a layer
		double[] fromMb = new double[layers + 1];
		double[] toMb = new double[layers + 1];
		for (EnginePlacement placement : placements) {
			LayerRange range = ranges.get(placement.id());
			if (range != null) {
				double cacheMb = Math.max(0, placement.kind().memoryMb() - range.size() * engine.layerMb());
				totalMb += cacheMb;
				fromMb[range.from()] += cacheMb;
				toMb[range.to()] += cacheMb;
			}
		}
		double least = Double.MAX_VALUE;
		double beforeMb = 0;
		for (int from = 0; from < layers; from++) {
			beforeMb += toMb[from];
			double afterMb = 0;
			for (int to = layers; to > from; to--) {
				afterMb += fromMb[to];
				least = Math.min(least, (totalMb - beforeMb - afterMb) / (to - from));
			}
		}
		return least;
	}

}
