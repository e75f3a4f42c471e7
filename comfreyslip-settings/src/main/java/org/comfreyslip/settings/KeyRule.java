package org.comfreyslip.settings;

/**
 * The rule for one key of a section.
 *
 * @param name the key as it is written in the text
 * @param required whether the section must contain it
 * @param valueRule the rule for its value
 * @param defaultText what applies if the key is missing, as the reference page shows it;
 * empty for a required key
 */
record KeyRule(String name, boolean required, ValueRule valueRule, String defaultText) {

	static KeyRule required(String name, ValueRule valueRule) {
		return new KeyRule(name, true, valueRule, "");
	}

	static KeyRule optional(String name, ValueRule valueRule, String defaultText) {
		return new KeyRule(name, false, valueRule, defaultText);
	}

}
