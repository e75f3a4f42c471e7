package org.comfreyslip.settings;

import java.util.List;
import java.util.Optional;

/**
 * The rule for one type of section.
 *
 * @param type the first word of the section's header
 * @param nameCount the number of names that follow the type in the header, 0 to 2
 * @param required whether the text must contain the section
 * @param keys the rules of all keys that the section may contain
 */
record SectionRule(String type, int nameCount, boolean required, List<KeyRule> keys) {

	Optional<KeyRule> findKey(String name) {
		return this.keys.stream().filter((key) -> key.name().equals(name)).findFirst();
	}

	/**
	 * Returns the header with placeholders for the names, as faults and the reference
	 * page show it.
	 * @return the header, such as {@code [model NAME]}
	 */
	String headerTemplate() {
		return switch (this.nameCount) {
			case 0 -> "[" + this.type + "]";
			case 1 -> "[" + this.type + " NAME]";
			default -> "[" + this.type + " DC-A DC-B]";
		};
	}

}
