package org.comfreyslip.settings;

import java.util.List;
import java.util.Map;
import java.util.Optional;

/**
 * A section of a known type with the values that passed their rules.
 *
 * @param rule the rule that the section was checked against
 * @param header the text between the brackets, as the operator wrote it
 * @param names the words after the type; as many as the rule states
 * @param values the valid values by key; without keys that are missing or have an invalid
 * value
 */
record CheckedSection(SectionRule rule, String header, List<String> names, Map<String, String> values) {

	String name() {
		return this.names.get(0);
	}

	Optional<String> find(String key) {
		return Optional.ofNullable(this.values.get(key));
	}

	String requireText(String key) {
		return find(key).orElseThrow();
	}

	List<String> list(String key) {
		return ValueRules.splitAtCommas(find(key).orElse(""));
	}

	int requireInt(String key) {
		return Integer.parseInt(requireText(key));
	}

	long longOrDefault(String key, long defaultValue) {
		return find(key).map(Long::parseLong).orElse(defaultValue);
	}

}
