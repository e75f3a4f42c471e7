package org.comfreyslip.settings;

/**
 * Section {@code [platform]} of a daemon's settings.
 *
 * @param log IP address and port of the log service
 * @param hostList IP address and port of the host list
 * @param weightStore IP address and port of the weight store
 * @param logRetentionMillis how long the log keeps a record, in milliseconds
 */
public record PlatformSection(String log, String hostList, String weightStore, long logRetentionMillis) {

	/** Default of {@code log-retention-ms}, in milliseconds (3 h). */
	public static final long DEFAULT_LOG_RETENTION_MILLIS = 10_800_000;

}
