package org.comfreyslip.clients.log;

import java.util.List;

/**
 * Result of one read.
 *
 * @param head the oldest retained offset
 * @param tail the next offset to be given out
 * @param records the records by offset, the first at or after the offset asked for
 */
public record LogPage(long head, long tail, List<LogRecord> records) {

	/**
	 * Copies the records.
	 */
	public LogPage {
		records = List.copyOf(records);
	}

}
