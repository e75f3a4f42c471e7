package org.comfreyslip.settings;

/**
 * One line {@code key = value} of an INI text.
 *
 * @param key the key, without surrounding blanks
 * @param value the value, without surrounding blanks; empty if the line has none
 */
public record IniEntry(String key, String value) {
}
