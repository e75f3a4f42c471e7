package org.comfreyslip.entry;

import com.google.common.flogger.FluentLogger;

/**
 * Writes the log of the entry daemon: one line of {@code key=value} pairs for each event.
 */
public final class EntryLog {

	private static final FluentLogger logger = FluentLogger.forEnclosingClass();

	private EntryLog() {
	}

	/**
	 * Writes the line of an event at the event's level.
	 * @param event the event
	 * @param subject what the event is about, for example a request id, an endpoint or a
	 * topic of the store
	 * @param keysAndValues keys and values in turn; a key without a value is left out
	 */
	public static void write(EntryEvent event, String subject, Object... keysAndValues) {
		StringBuilder line = new StringBuilder(160);
		line.append("event=CS-").append(event.number()).append(' ').append(event.name());
		line.append(" subject=").append(subject);
		for (int index = 0; index + 1 < keysAndValues.length; index += 2) {
			line.append(' ').append(keysAndValues[index]).append('=').append(keysAndValues[index + 1]);
		}
		logger.at(event.level()).log("%s", line);
	}

}
