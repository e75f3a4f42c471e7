package org.comfreyslip.operator;

/**
 * One difference between two texts.
 *
 * @param section the section's name
 * @param key the key, or an empty string for the section itself
 * @param before the old value, or {@code null} if it is new
 * @param after the new value, or {@code null} if it was removed
 */
record TextChange(String section, String key, String before, String after) {

	@Override
	public String toString() {
		String place = "[" + this.section + "]" + (this.key.isEmpty() ? "" : " " + this.key);
		if (this.key.isEmpty()) {
			return ((this.before == null) ? "+ " : "- ") + place;
		}
		if (this.before == null) {
			return "+ " + place + " = " + this.after;
		}
		if (this.after == null) {
			return "- " + place + " = " + this.before;
		}
		return "~ " + place + " = " + this.before + " -> " + this.after;
	}

}
