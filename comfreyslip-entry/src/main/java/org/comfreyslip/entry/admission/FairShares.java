package org.comfreyslip.entry.admission;

import java.util.Collection;

/** Max-min fair division of work. */
final class FairShares {

	private FairShares() {
	}

	/**
	 * Returns the level up to which each demand is met so that all together get a part of
	 * the total.
	 * @param demands the demands, not negative
	 * @param part part of the total to meet, from 0 to 1
	 * @return the level in the unit of the demands; infinite if all are met
	 */
	static double level(Collection<Double> demands, double part) {
		double[] ascending = demands.stream().mapToDouble(Double::doubleValue).sorted().toArray();
		double left = 0;
		for (double demand : ascending) {
			left += part * demand;
		}
		for (int index = 0; index < ascending.length; index++) {
			double even = left / (ascending.length - index);
			if (ascending[index] >= even) {
				return even;
			}
			left -= ascending[index];
		}
		return Double.POSITIVE_INFINITY;
	}

}
