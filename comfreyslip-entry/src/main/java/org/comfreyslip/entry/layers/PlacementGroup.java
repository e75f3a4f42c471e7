package org.comfreyslip.entry.layers;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;

import org.comfreyslip.entry.layers.LayerPlanner.EnginePlacement;
import org.comfreyslip.entry.model.EngineSpec;
import org.comfreyslip.entry.model.LayerRange;

/**
 * Engines that are planned to hold all layers together, with the replicas of each layer
 * that they hold or load. Engines that are suspected to be lost hold none.
 */
final class PlacementGroup {

	private final EngineSpec engine;

	private final List<EnginePlacement> placements;

	private final double weightShare;

	/** Replicas that are loaded, being loaded or ordered, by layer. */
	private final int[] replicas;

	/** Replicas that are loaded and stay, by layer. */
	private final int[] loadedReplicas;

	/** The two smallest step factors of engines with a loaded replica, by layer. */
	private final double[][] fastestStepFactors;

	/**
	 * Creates a group.
	 * @param engine the model engine
	 * @param placements the engines of the group
	 * @param weightShare share of an engine's memory that weights are planned to take
	 */
	PlacementGroup(EngineSpec engine, List<EnginePlacement> placements, double weightShare) {
		this.engine = engine;
		this.placements = placements;
		this.weightShare = weightShare;
		this.replicas = new int[engine.layers()];
		this.loadedReplicas = new int[engine.layers()];
		this.fastestStepFactors = new double[engine.layers()][2];
		for (double[] factors : this.fastestStepFactors) {
			Arrays.fill(factors, Double.MAX_VALUE);
		}
		for (EnginePlacement placement : placements) {
			if (placement.layers().isPresent() && !placement.suspected()) {
				LayerRange range = clip(placement.layers().get());
				add(this.replicas, range, 1);
				if (!placement.orderPending()) {
					add(this.loadedReplicas, range, 1);
					addStepFactor(range, placement.kind().stepFactor());
				}
			}
		}
	}

	private void addStepFactor(LayerRange range, double stepFactor) {
		for (int layer = range.from(); layer < range.to(); layer++) {
			double[] fastest = this.fastestStepFactors[layer];
			if (stepFactor < fastest[0]) {
				fastest[1] = fastest[0];
				fastest[0] = stepFactor;
			}
			else {
				fastest[1] = Math.min(fastest[1], stepFactor);
			}
		}
	}

	// Registrations of another model may name layers that this one does not have.
	private LayerRange clip(LayerRange range) {
		int to = Math.min(range.to(), this.engine.layers());
		return new LayerRange(Math.min(range.from(), to), to);
	}

	List<EnginePlacement> placements() {
		return this.placements;
	}

	int[] replicas() {
		return this.replicas;
	}

	int[] loadedReplicas() {
		return this.loadedReplicas;
	}

	/**
	 * Returns how fast the fastest engines run a layer that they have loaded.
	 * @param layer the layer
	 * @return the smallest and the second smallest step factor; the largest value if
	 * there are fewer engines
	 */
	double[] fastestStepFactors(int layer) {
		return this.fastestStepFactors[layer];
	}

	/**
	 * Tells whether no engine of the group holds or loads layers.
	 * @return whether the group has yet to get its first plan
	 */
	boolean isUnplaced() {
		return this.placements.stream().noneMatch((placement) -> placement.layers().isPresent());
	}

	/**
	 * Returns the number of layers that an engine is planned to hold.
	 * @param placement an engine of the group
	 * @return the number of layers; 0 if none fits
	 */
	int plannedSize(EnginePlacement placement) {
		long size = Math.round(placement.kind().memoryMb() * this.weightShare / this.engine.layerMb());
		return (int) Math.min(size, this.engine.maxLayers(placement.kind()));
	}

	/**
	 * Records an order to an engine. Layers that it keeps stay loaded.
	 * @param placement the engine as it is now
	 * @param range the layers to hold
	 */
	void recordOrder(EnginePlacement placement, LayerRange range) {
		if (placement.layers().isPresent()) {
			LayerRange held = clip(placement.layers().get());
			add(this.replicas, held, -1);
			release(this.loadedReplicas, held, range);
		}
		add(this.replicas, range, 1);
	}

	/**
	 * Returns the runs of layers whose number of replicas is at most a limit.
	 * @param replicas replicas by layer
	 * @param limit the limit
	 * @return the runs, ascending and not adjacent
	 */
	static List<LayerRange> runsUpTo(int[] replicas, int limit) {
		List<LayerRange> runs = new ArrayList<>();
		int from = 0;
		while (from < replicas.length) {
			int to = from;
			while (to < replicas.length && replicas[to] <= limit) {
				to++;
			}
			if (to > from) {
				runs.add(new LayerRange(from, to));
			}
			from = to + 1;
		}
		return runs;
	}

	static void add(int[] replicas, LayerRange range, int delta) {
		for (int layer = range.from(); layer < range.to(); layer++) {
			replicas[layer] += delta;
		}
	}

	/**
	 * Subtracts the layers that an engine gives up when its range changes.
	 * @param replicas replicas by layer
	 * @param held its layers before
	 * @param range its layers after
	 */
	static void release(int[] replicas, LayerRange held, LayerRange range) {
		for (int layer = held.from(); layer < Math.min(held.to(), replicas.length); layer++) {
			if (!range.contains(layer)) {
				replicas[layer]--;
			}
		}
	}

}
