package org.comfreyslip.routing.topology;

/**
 * A non-empty range of model layers, as engines hold and run it. Unlike the class of the
 * same name in the entry module, it cannot be empty.
 *
 * @param first the first layer, from 0
 * @param end the layer after the last one, greater than {@code first}
 */
public record LayerRange(int first, int end) {

	/**
	 * Creates a range after checking its bounds.
	 * @throws IllegalArgumentException if the range is empty or starts below 0
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
