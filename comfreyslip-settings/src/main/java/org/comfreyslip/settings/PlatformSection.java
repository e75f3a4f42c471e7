package org.comfreyslip.settings;

/**
 * Section {@code [platform]} of a daemon's settings.
 *
 * @param log IP address and port of the log service
 * @param hostList IP address and port of the host list
 * @param weightStore IP address and port of the weight store
 */
public record PlatformSection(String log, String hostList, String weightStore) {
}
