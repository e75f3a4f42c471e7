package org.comfreyslip.routing.placement;

import org.comfreyslip.routing.topology.LayerRange;

/**
 * Capacity of one model by layer, in tokens per second.
 */
final class LayerCapacity {

	// Sums and differences of rates leave rounding behind.
	private static final double EPSILON = 1e-6;

	private final double[] serving;

	private final double[] planned;

	LayerCapacity(int layers) {
		this.serving = new double[layers];
		this.planned = new double[layers];
	}

	void add(LayerRange range, double rate, boolean isServing) {
		for (int i = range.first(); i < Math.min(range.end(), this.planned.length); i++) {
			this.planned[i] += rate;
			this.serving[i] += (isServing) ? rate : 0;
		}
	}

	void remove(LayerRange range, double rate) {
		for (int i = range.first(); i < Math.min(range.end(), this.planned.length); i++) {
			this.planned[i] -= rate;
			this.serving[i] -= rate;
		}
	}

	boolean canSpare(LayerRange range, double rate, double needed) {
		for (int i = range.first(); i < Math.min(range.end(), this.serving.length); i++) {
			double left = this.serving[i] - rate;
			if (left <= EPSILON || left < needed) {
				return false;
			}
		}
		return true;
	}

	int weakestLayer() {
		int weakest = 0;
		for (int i = 1; i < this.planned.length; i++) {
			weakest = (this.planned[i] < this.planned[weakest] - EPSILON) ? i : weakest;
		}
		return weakest;
	}

	double planned(int layer) {
		return this.planned[layer];
	}

	boolean isUncovered(int layer) {
		return this.planned[layer] <= EPSILON;
	}

	LayerRange uncoveredRun(int layer) {
		int end = layer;
		while (end < this.planned.length && isUncovered(end)) {
			end++;
		}
		return new LayerRange(layer, end);
	}

}
