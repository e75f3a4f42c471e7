package org.comfreyslip.entry;

import com.google.common.flogger.FluentLogger;

/**
 * Writes one structured line for each decision.
 */
public final class EntryLog {

	private static final FluentLogger logger = FluentLogger.forEnclosingClass();

	private EntryLog() {
	}

	/**
	 * Writes a line.
	 * @param event the event
	 * @param subject what it is about: a request id, an endpoint or a store topic
	 * @param pairs names and values in turn
	 */
	public static void write(EntryEvent event, String subject, Object... pairs) {
		StringBuilder line = new StringBuilder(160);
		line.append("event=CS-").append(event.number()).append(' ').append(event.name());
		line.append(" subject=").append(subject);
		for (int index = 0; index + 1 < pairs.length; index += 2) {
			line.append(' ').append(pairs[index]).append('=').append(pairs[index + 1]);
		}
		logger.at(event.level()).log("%s", line);
	}

}
