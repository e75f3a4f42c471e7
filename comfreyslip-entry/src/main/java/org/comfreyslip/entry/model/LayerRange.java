package org.comfreyslip.entry.model;

/**
 * A contiguous range of model layers.
 *
 * @param from first layer, counted from 0
 * @param to layer after the last one
 */
public record LayerRange(int from, int to) {

	/**
	 * Checks the bounds.
	 * @param from first layer
	 * @param to layer after the last one
	 */
	public LayerRange {
		if (from < 0 || to < from) {
			throw new IllegalArgumentException("a layer range needs 0 <= from <= to, found " + from + " to " + to);
		}
	}

	/**
	 * Returns the number of layers.
	 * @return the number of layers
	 */
	public int size() {
		return this.to - this.from;
	}

	/**
	 * Tells whether the range holds a layer.
	 * @param layer the layer
	 * @return whether it lies in the range
	 */
	public boolean holds(int layer) {
		return this.from <= layer && layer < this.to;
	}

}
