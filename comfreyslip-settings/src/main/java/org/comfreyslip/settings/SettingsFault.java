package org.comfreyslip.settings;

import java.util.regex.Pattern;

/**
 * One fault of a settings text. The components are written as JSON under their names.
 *
 * @param file the file name that the caller of the check gave
 * @param section the header of the section without brackets, shortened and without
 * control characters, or an empty string for a fault of the whole text
 * @param key the key, shortened and without control characters, or an empty string for a
 * fault of the whole section
 * @param found what the text contains at this place, shortened and without control
 * characters
 * @param allowed what the text may contain at this place
 * @param remedy what the operator can do to correct it
 */
public record SettingsFault(String file, String section, String key, String found, String allowed, String remedy) {

	/** Largest length of a quotation, in characters, so that a fault fits a screen. */
	static final int MAX_QUOTED_CHARS = 120;

	private static final Pattern UNPRINTABLE = Pattern.compile("[\\p{Cc}\\p{Cs}\\p{Cf}\\p{Zl}\\p{Zp}]");

	/**
	 * Shortens the quotations from the text and replaces their control characters, which
	 * could change the state of a terminal.
	 */
	public SettingsFault {
		section = toPrintable(section);
		key = toPrintable(key);
		found = toPrintable(found);
	}

	private static String toPrintable(String text) {
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
