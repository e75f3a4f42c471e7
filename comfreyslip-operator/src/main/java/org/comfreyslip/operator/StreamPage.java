package org.comfreyslip.operator;

import java.util.List;

/**
 * Part of a stream.
 *
 * @param head the oldest offset that the log retains
 * @param records the records, in the order of their offsets
 */
public record StreamPage(long head, List<StreamRecord> records) {
}
