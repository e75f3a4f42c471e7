package org.comfreyslip.operator;

/**
 * A proposed text.
 *
 * @param id the proposal's id; only the first record with an id counts
 * @param baseNumber number of the version that the author changed, 0 for none
 * @param baseDigest digest of that version's text, empty for none
 * @param author the operator's name
 * @param text the operators' text
 * @param digest SHA-256 of the text in lower-case hex
 */
record ProposalEntry(String id, long baseNumber, String baseDigest, String author, String text,
		String digest) implements ConfigEntry {
}
