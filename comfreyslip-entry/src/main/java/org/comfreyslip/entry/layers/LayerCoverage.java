package org.comfreyslip.entry.layers;

import java.util.Collection;
import java.util.stream.Collectors;
import java.util.stream.IntStream;

import org.comfreyslip.entry.model.LayerRange;

/**
 * Tells which layers of a model are held by some engines.
 */
final class LayerCoverage {

	private final boolean[] held;

	/**
	 * Creates the coverage by some ranges.
	 * @param layers number of layers of the model
	 * @param ranges the ranges that are held; parts beyond the model are ignored
	 */
	LayerCoverage(int layers, Collection<LayerRange> ranges) {
		this.held = new boolean[layers];
		for (LayerRange range : ranges) {
			for (int layer = range.from(); layer < Math.min(range.to(), layers); layer++) {
				this.held[layer] = true;
			}
		}
	}

	/**
	 * Returns the layers that are not held.
	 * @return ranges such as {@code 0-8}, separated by commas; empty if all are held
	 */
	String missing() {
		return IntStream.range(0, this.held.length)
			.filter((layer) -> !this.held[layer] && (layer == 0 || this.held[layer - 1]))
			.mapToObj((from) -> from + "-" + endOfGap(from))
			.collect(Collectors.joining(","));
	}

	/**
	 * Returns how many layers are not held.
	 * @return the number of layers
	 */
	int missingCount() {
		return (int) IntStream.range(0, this.held.length).filter((layer) -> !this.held[layer]).count();
	}

	private int endOfGap(int from) {
		int to = from;
		while (to < this.held.length && !this.held[to]) {
			to++;
		}
		return to;
	}

}
