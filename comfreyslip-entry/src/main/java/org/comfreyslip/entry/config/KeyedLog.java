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
	 * @param done takes the outcome
	 */
	void newest(Optional<String> afterKey, Consumer<Outcome> done);

	/**
	 * Reads the records from an offset on, waiting for one if there is none.
	 * @param fromOffset the first offset
	 * @param waitMs longest wait at the store, in ms
	 * @param done takes the outcome
	 */
	void read(long fromOffset, long waitMs, Consumer<Outcome> done);

	/**
	 * A record.
	 *
	 * @param key the key
	 * @param value the value; empty if the key was removed
	 * @param offset the offset
	 */
	record KeyedRecord(String key, Optional<byte[]> value, long offset) {
	}

	/** Outcome of a read. */
	sealed interface Outcome {

		/**
		 * Records were read.
		 *
		 * @param records the records in order of offset
		 * @param nextOffset the offset to continue at
		 * @param endOffset the end of the topic at the time of the read
		 * @param morePages whether further pages of newest records follow
		 */
		record Page(List<KeyedRecord> records, long nextOffset, long endOffset, boolean morePages) implements Outcome {
		}

		/** The records at the offset are no longer retained. */
		record Expired() implements Outcome {
		}

		/**
		 * The store did not answer usably.
		 *
		 * @param reason what happened
		 */
		record Unavailable(String reason) implements Outcome {
		}

	}

}
