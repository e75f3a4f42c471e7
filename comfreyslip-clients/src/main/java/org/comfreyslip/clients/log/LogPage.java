package org.comfreyslip.clients.log;

import java.util.List;

/**
 * Result of one read of a log stream.
 *
 * @param head the oldest retained offset
 * @param tail the offset that the next appended record gets
 * @param records the records in ascending order of offset, from the first at or after the
 * requested offset
 */
public record LogPage(long head, long tail, List<LogRecord> records) {

	/**
	 * Makes an unmodifiable copy of the records.
	 */
	public LogPage {
		records = List.copyOf(records);
	}

}
