package org.comfreyslip.entry.layers;

import java.util.List;
import java.util.Optional;

import org.comfreyslip.entry.model.AcceleratorKind;
import org.comfreyslip.entry.model.Endpoint;
import org.comfreyslip.entry.model.EngineSpec;
import org.comfreyslip.entry.model.LayerRange;

/**
 * Estimates the free KV cache memory of a data centre's engines, as far as their loads
 * are known. Addresses load near the capacity, where a path for one stream says little
 * about the room for all. The room of a request of mean size at each engine does not
 * count: if it were filled, too, no engine would have room for a larger request.
 */
public final class FreeRoom {

	private FreeRoom() {
	}

	/**
	 * Returns the room for streams through all layers.
	 * @param engine the model engine of the service
	 * @param loads the loads of its engines
	 * @param candidates engines that may be used; those of other data centres are skipped
	 * @param dataCentre the daemon's data centre
	 * @return the free room of the layer with the least of it, times the number of
	 * layers, in tokens times layers; 0 if a layer has none
	 */
	public static double tokenLayers(EngineSpec engine, LayerLoads loads, List<Endpoint> candidates,
			String dataCentre) {
		double meanTokens = engine.meanPromptTokens() + engine.meanResponseTokens();
		double[] freeTokens = new double[engine.layers()];
		for (Endpoint candidate : candidates) {
			Optional<LayerRange> held = candidate.layers();
			Optional<AcceleratorKind> kind = candidate.accelerator().map(engine.kinds()::get);
			if (held.isEmpty() || kind.isEmpty() || !candidate.dataCentre().equals(dataCentre)) {
				continue;
			}
			double capacity = PathFinder.MAX_KV_CACHE_SHARE
					* engine.kvCapacityTokenLayers(kind.get(), held.get().size());
			double free = Math.max(0,
					capacity - loads.totalLoad(candidate.id()).tokenLayers() - meanTokens * held.get().size());
			for (int layer = held.get().from(); layer < held.get().to(); layer++) {
				freeTokens[layer] += free / held.get().size();
			}
		}
		double least = Double.MAX_VALUE;
		for (double tokens : freeTokens) {
			least = Math.min(least, tokens);
		}
		return engine.layers() * least;
	}

}
