package org.comfreyslip.routing.placement;

import org.comfreyslip.routing.topology.LayerRange;

/**
 * Capacity of the engines of one model for each layer, in tokens per second: the capacity
 * that serves now, and the planned capacity, which includes engines that are loading.
 */
final class LayerCapacity {

	// Rates at or below this value are rounding errors of sums and differences.
	private static final double EPSILON = 1e-6;

	private final double[] servingRate;

	private final double[] plannedRate;

	LayerCapacity(int layers) {
		this.servingRate = new double[layers];
		this.plannedRate = new double[layers];
	}

	void add(LayerRange range, double rate, boolean isServing) {
		for (int i = range.first(); i < Math.min(range.end(), this.plannedRate.length); i++) {
			this.plannedRate[i] += rate;
			this.servingRate[i] += (isServing) ? rate : 0;
		}
	}

	void remove(LayerRange range, double rate) {
		for (int i = range.first(); i < Math.min(range.end(), this.plannedRate.length); i++) {
			this.plannedRate[i] -= rate;
			this.servingRate[i] -= rate;
		}
	}

	boolean canSpare(LayerRange range, double rate, double needed) {
		for (int i = range.first(); i < Math.min(range.end(), this.servingRate.length); i++) {
			double left = this.servingRate[i] - rate;
			if (left <= EPSILON || left < needed) {
				return false;
			}
		}
		return true;
	}

	int weakestLayer() {
		int weakest = 0;
		for (int i = 1; i < this.plannedRate.length; i++) {
			weakest = (this.plannedRate[i] < this.plannedRate[weakest] - EPSILON) ? i : weakest;
		}
		return weakest;
	}

	double plannedRate(int layer) {
		return this.plannedRate[layer];
	}

	boolean isUncovered(int layer) {
		return this.plannedRate[layer] <= EPSILON;
	}

	LayerRange uncoveredRangeFrom(int layer) {
		int end = layer;
		while (end < this.plannedRate.length && isUncovered(end)) {
			end++;
		}
		return new LayerRange(layer, end);
	}

}
