package org.comfreyslip.settings;

import java.util.regex.Pattern;

/**
 * One fault of a settings text.
 *
 * @param file the name of the file, as the operator gave it
 * @param section the section's name, or an empty string for a fault of the whole text
 * @param key the key, or an empty string for a fault of the whole section
 * @param found what the text contains, shortened and without control characters
 * @param allowed what the text may contain at this place
 * @param remedy what the operator can do
 */
public record SettingsFault(String file, String section, String key, String found, String allowed, String remedy) {

	/** Longest quotation of the text, in characters, so that one fault fits a screen. */
	static final int MAX_QUOTED_CHARS = 120;

	private static final Pattern UNPRINTABLE = Pattern.compile("[\\p{Cc}\\p{Cs}\\p{Cf}\\p{Zl}\\p{Zp}]");

	/**
	 * Shortens the quotation and replaces its control characters, which could alter a
	 * terminal.
	 */
	public SettingsFault {
		section = printable(section);
		key = printable(key);
		found = printable(found);
	}

	private static String printable(String text) {
		String shortened = (text.length() <= MAX_QUOTED_CHARS) ? text : text.substring(0, MAX_QUOTED_CHARS) + "...";
		return UNPRINTABLE.matcher(shortened).replaceAll("\uFFFD");
	}

	@Override
	public String toString() {
		StringBuilder line = new StringBuilder(this.file);
		if (!this.section.isEmpty()) {
			line.append(": [").append(this.section).append(']');
		}
		if (!this.key.isEmpty()) {
			line.append(' ').append(this.key);
		}
		return line.append(": found ")
			.append(this.found)
			.append("; allowed: ")
			.append(this.allowed)
			.append("; ")
			.append(this.remedy)
			.toString();
	}

}
