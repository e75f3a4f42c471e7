package org.comfreyslip.standins.engine;

import java.util.List;

/**
 * Answer to {@code GET /v1/passes}.
 *
 * @param passes the counts
 */
public record PassCounts(List<PassCount> passes) {

	/**
	 * Copies the counts.
	 */
	public PassCounts {
		passes = List.copyOf(passes);
	}

}
