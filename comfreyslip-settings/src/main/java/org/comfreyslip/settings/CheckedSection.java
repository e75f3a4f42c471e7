package org.comfreyslip.settings;

import java.util.List;
import java.util.Map;
import java.util.Optional;

/**
 * A section of a known type with the values that passed their rules.
 *
 * @param rule the section's type
 * @param header the section's name in the text
 * @param names the names after the type
 * @param values the allowed values by key; a faulty value is absent
 */
record CheckedSection(SectionRule rule, String header, List<String> names, Map<String, String> values) {

	String name() {
		return this.names.get(0);
	}

	Optional<String> find(String key) {
		return Optional.ofNullable(this.values.get(key));
	}

	String text(String key) {
		return find(key).orElseThrow();
	}

	List<String> list(String key) {
		return ValueRules.split(find(key).orElse(""));
	}

	int number(String key) {
		return Integer.parseInt(text(key));
	}

	long number(String key, long defaultValue) {
		return find(key).map(Long::parseLong).orElse(defaultValue);
	}

}
