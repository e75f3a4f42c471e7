package org.comfreyslip.settings;

import java.util.List;
import java.util.Optional;

/**
 * One section of an INI text.
 *
 * @param name the text between the brackets, or an empty string for lines before the
 * first section
 * @param entries the lines in the order of the text; a key that occurs twice is kept
 * twice
 */
public record IniSection(String name, List<IniEntry> entries) {

	/**
	 * Returns the first value of a key.
	 * @param key the key; upper and lower case differ
	 * @return the value, which may be an empty string, or empty if the section does not
	 * contain the key
	 */
	public Optional<String> find(String key) {
		return this.entries.stream().filter((entry) -> entry.key().equals(key)).map(IniEntry::value).findFirst();
	}

}
