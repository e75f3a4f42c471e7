package org.comfreyslip.entry.admission;

import java.util.Map;
import java.util.TreeMap;

/**
 * What a daemon, or several together, measured for one service. All rates are in tokens
 * times layers per second.
 *
 * @param byPriority rates by priority; 0 is the most urgent
 * @param accountDemands demand of the largest accounts
 */
record ServiceRates(Map<Integer, PriorityRates> byPriority, Map<AccountKey, Double> accountDemands) {

	/**
	 * Returns the total over all priorities.
	 * @return the sum of the rates
	 */
	PriorityRates total() {
		return this.byPriority.values().stream().reduce(PriorityRates.NONE, PriorityRates::plus);
	}

	/**
	 * Adds rates by priority.
	 * @param sum the sum so far, to which the rates are added
	 */
	void addTo(TreeMap<Integer, PriorityRates> sum) {
		this.byPriority.forEach((priority, rates) -> sum.merge(priority, rates, PriorityRates::plus));
	}

	/**
	 * Rates of one priority.
	 *
	 * @param demand all requests
	 * @param admitted requests that got capacity
	 * @param refused requests that were let through but found no capacity
	 */
	record PriorityRates(double demand, double admitted, double refused) {

		static final PriorityRates NONE = new PriorityRates(0, 0, 0);

		PriorityRates plus(PriorityRates other) {
			return new PriorityRates(this.demand + other.demand, this.admitted + other.admitted,
					this.refused + other.refused);
		}

		/**
		 * Returns which part of the work that was let through found no capacity.
		 * @return the part, from 0 to 1
		 */
		double refusedPart() {
			double letThrough = this.admitted + this.refused;
			return (letThrough > 0) ? this.refused / letThrough : 0;
		}

	}

	/**
	 * An account within a priority.
	 *
	 * @param priority the priority
	 * @param accountHash hash of the account's name
	 */
	record AccountKey(int priority, int accountHash) {
	}

}
