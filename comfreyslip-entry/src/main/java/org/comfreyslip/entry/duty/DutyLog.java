package org.comfreyslip.entry.duty;

import java.util.Optional;
import java.util.function.Consumer;

/**
 * The log of the placement duty in the store: a topic with one partition. Only one call
 * may be open at a time.
 */
public interface DutyLog {

	/**
	 * Appends a record if the log still ends before an offset.
	 * @param at the offset that the record must get
	 * @param content the encoded record
	 * @param callback takes the outcome, once
	 */
	void append(long at, byte[] content, Consumer<AppendOutcome> callback);

	/**
	 * Reads the last record.
	 * @param callback takes the record, once; empty if the store sent no answer or one
	 * that cannot be decoded
	 */
	void readLast(Consumer<Optional<LastRecord>> callback);

	/** Outcome of an append. */
	sealed interface AppendOutcome {

		/**
		 * The record was appended.
		 *
		 * @param era how often the store has gone back to an older copy
		 * @param offset offset of the record
		 */
		record Appended(long era, long offset) implements AppendOutcome {
		}

		/** The log did not end before the offset, and nothing was appended. */
		record Conflict() implements AppendOutcome {
		}

		/**
		 * It is not known whether the record was appended, or will be.
		 *
		 * @param why what happened instead of an answer
		 */
		record Unknown(String why) implements AppendOutcome {
		}

	}

	/**
	 * The last record.
	 *
	 * @param era how often the store has gone back to an older copy
	 * @param offset offset of the record; -1 if the log is empty
	 * @param content the encoded record; empty if the log is empty or its last record was
	 * dropped at the end of its retention
	 */
	record LastRecord(long era, long offset, byte[] content) {
	}

}
