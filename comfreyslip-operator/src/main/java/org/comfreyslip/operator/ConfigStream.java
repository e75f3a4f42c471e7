package org.comfreyslip.operator;

import org.comfreyslip.coordination.CodedException;

/**
 * The log stream of configurations.
 */
public interface ConfigStream {

	/**
	 * Reads records in the order of their offsets.
	 * @param from the first offset
	 * @param max the largest number of records, at least 1
	 * @return the records, none if the stream has no later ones
	 * @throws CodedException with code {@code LOG_UNAVAILABLE}
	 */
	StreamPage read(long from, int max);

	/**
	 * Appends a record.
	 * @param data the record
	 * @return its offset
	 * @throws CodedException with code {@code LOG_UNAVAILABLE} if the record was not
	 * appended, and {@code OUTCOME_UNKNOWN} if it may have been
	 */
	long append(byte[] data);

}
