package org.comfreyslip.standins.service;

import java.util.List;

/**
 * Recorded stamps in order.
 *
 * @param records the stamps
 */
public record StampRecords(List<StampRecord> records) {

	/**
	 * Copies the records.
	 */
	public StampRecords {
		records = List.copyOf(records);
	}

}
