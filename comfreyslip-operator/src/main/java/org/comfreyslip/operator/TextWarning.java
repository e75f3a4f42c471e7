package org.comfreyslip.operator;

/**
 * An entry of a text without faults that has no effect or contradicts another entry.
 *
 * @param section the header of the section without brackets
 * @param key the key, or an empty string for the whole section
 * @param message what has no effect or contradicts, without a final period
 */
record TextWarning(String section, String key, String message) {

	@Override
	public String toString() {
		return "[" + this.section + "]" + (this.key.isEmpty() ? "" : " " + this.key) + ": " + this.message;
	}

}
