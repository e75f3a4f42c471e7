package org.comfreyslip.entry.duty;

/**
 * A call to the store that is due.
 */
public sealed interface DutyCall {

	/**
	 * Appends a record if the log still ends before an offset.
	 *
	 * @param at the offset that the record must get
	 * @param content the record
	 */
	record Append(long at, DutyRecord content) implements DutyCall {
	}

	/** Reads the last record of the log. */
	record Read() implements DutyCall {
	}

}
