package org.comfreyslip.load.policy;

import java.util.Locale;

/**
 * How many requests of one account the daemons had open together.
 *
 * @param daemons the number of daemons
 * @param limit the account's limit over all daemons
 * @param gossip whether the daemons exchanged usage
 * @param peak the most open requests
 * @param mean the mean of the open requests
 */
public record OverGrantResult(int daemons, int limit, boolean gossip, int peak, double mean) {

	/** The header of the CSV lines. */
	public static final String HEADER = "daemons,limit,gossip,stated_bound,peak,mean";

	/**
	 * Returns the stated bound: 25% plus one request per daemon above the limit.
	 * @return the most open requests
	 */
	public double statedBound() {
		return this.limit * 1.25 + this.daemons;
	}

	/**
	 * Returns the result as a CSV line.
	 * @return the line without a line break
	 */
	public String toCsv() {
		return String.format(Locale.ROOT, "%d,%d,%s,%.0f,%d,%.1f", this.daemons, this.limit, this.gossip, statedBound(),
				this.peak, this.mean);
	}

}
