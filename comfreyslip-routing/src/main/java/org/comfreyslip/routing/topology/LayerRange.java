package org.comfreyslip.routing.topology;

/**
 * A range of model layers.
 *
 * @param first the first layer, from 0
 * @param end the layer after the last one, above {@code first}
 */
public record LayerRange(int first, int end) {

	/**
	 * Checks the range.
	 * @throws IllegalArgumentException if the range is empty or negative
	 */
	public LayerRange {
		if (first < 0 || end <= first) {
			throw new IllegalArgumentException("layer range " + first + "-" + end + " must be first < end, from 0");
		}
	}

	/**
	 * Returns the number of layers.
	 * @return the count, at least 1
	 */
	public int count() {
		return this.end - this.first;
	}

	@Override
	public String toString() {
		return this.first + "-" + this.end;
	}

}
