package org.comfreyslip.entry.model;

/**
 * A contiguous range of model layers. Unlike the class of this name in
 * {@code org.comfreyslip.routing.topology}, it may be empty. Its text form, with the
 * names of the components, is written to the log.
 *
 * @param from first layer, counted from 0
 * @param to layer after the last one; equal to {@code from} if the range is empty
 */
public record LayerRange(int from, int to) {

	/**
	 * Checks the bounds.
	 * @param from first layer, counted from 0
	 * @param to layer after the last one; equal to {@code from} if the range is empty
	 * @throws IllegalArgumentException unless 0 &lt;= from &lt;= to
	 */
	public LayerRange {
		if (from < 0 || to < from) {
			throw new IllegalArgumentException("a layer range needs 0 <= from <= to, found " + from + " to " + to);
		}
	}

	/**
	 * Returns the number of layers.
	 * @return the number; 0 if the range is empty
	 */
	public int size() {
		return this.to - this.from;
	}

	/**
	 * Tells whether the range contains a layer.
	 * @param layer the layer, counted from 0
	 * @return whether it lies in the range
	 */
	public boolean contains(int layer) {
		return this.from <= layer && layer < this.to;
	}

}
