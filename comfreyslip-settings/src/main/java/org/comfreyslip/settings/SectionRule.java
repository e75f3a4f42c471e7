package org.comfreyslip.settings;

import java.util.List;
import java.util.Optional;

/**
 * A type of section.
 *
 * @param type the first word of the section's name
 * @param names the number of names that follow the type
 * @param required whether the text must contain the section
 * @param keys the keys
 */
record SectionRule(String type, int names, boolean required, List<KeyRule> keys) {

	Optional<KeyRule> findKey(String name) {
		return this.keys.stream().filter((key) -> key.name().equals(name)).findFirst();
	}

	/**
	 * Returns the section's header as the reference page shows it.
	 * @return the header, such as {@code [model NAME]}
	 */
	String header() {
		return switch (this.names) {
			case 0 -> "[" + this.type + "]";
			case 1 -> "[" + this.type + " NAME]";
			default -> "[" + this.type + " DC-A DC-B]";
		};
	}

}
