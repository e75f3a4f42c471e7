package org.comfreyslip.operator;

/**
 * A copy of the version in force, which keeps it in the log when older records expire.
 *
 * @param number the version's number
 * @param offset the offset of the proposal that became this version
 * @param digest SHA-256 of the text in lower-case hex
 * @param text the operators' text
 * @param foldedUpTo the last offset that the version takes into account
 */
record CheckpointEntry(long number, long offset, String digest, String text, long foldedUpTo) implements ConfigEntry {
}
