package org.comfreyslip.settings;

/**
 * A key of a section.
 *
 * @param name the key
 * @param required whether the section must contain it
 * @param rule the allowed values
 * @param defaultText what applies without the key, as the reference page shows it, or an
 * empty string
 */
record KeyRule(String name, boolean required, ValueRule rule, String defaultText) {

	static KeyRule required(String name, ValueRule rule) {
		return new KeyRule(name, true, rule, "");
	}

	static KeyRule optional(String name, ValueRule rule, String defaultText) {
		return new KeyRule(name, false, rule, defaultText);
	}

}
