package org.comfreyslip.entry.config;

import java.util.List;
import java.util.Optional;
import java.util.function.Consumer;

/**
 * Read access to one keyed topic of the store.
 */
public interface KeyedLog {

	/**
	 * Reads one page of the newest record of each key.
	 * @param afterKey the last key of the previous page, empty for the first page
	 * @param done called once with the outcome
	 */
	void readNewest(Optional<String> afterKey, Consumer<Outcome> done);

	/**
	 * Reads the records from an offset on; if there are none, the store waits for one.
	 * @param fromOffset offset of the first record to read
	 * @param waitMs longest wait at the store, in ms
	 * @param done called once with the outcome
	 */
	void read(long fromOffset, long waitMs, Consumer<Outcome> done);

	/**
	 * A record of the topic.
	 *
	 * @param key the key that the record belongs to
	 * @param value the value; empty if the key was removed
	 * @param offset position of the record in the topic
	 */
	record KeyedRecord(String key, Optional<byte[]> value, long offset) {
	}

	/** Outcome of a read. The text form of {@link Unavailable} is written to the log. */
	sealed interface Outcome {

		/**
		 * The read succeeded.
		 *
		 * @param records the records in order of offset; may be empty
		 * @param nextOffset offset at which the next read continues
		 * @param endOffset end offset of the topic at the time of the read
		 * @param morePages whether further pages of newest records follow
		 * @param era how often the store has gone back to an older copy of its records;
		 * offsets are comparable only within an era
		 */
		record Page(List<KeyedRecord> records, long nextOffset, long endOffset, boolean morePages,
				long era) implements Outcome {
		}

		/** The store no longer retains the records at the offset. */
		record Expired() implements Outcome {
		}

		/**
		 * The store sent no usable response.
		 *
		 * @param reason description of the failure, for the log
		 */
		record Unavailable(String reason) implements Outcome {
		}

	}

}
