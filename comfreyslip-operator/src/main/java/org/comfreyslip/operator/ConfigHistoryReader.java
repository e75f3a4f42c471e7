package org.comfreyslip.operator;

import java.util.Optional;

import org.comfreyslip.coordination.CodedException;
import org.comfreyslip.coordination.ErrorCode;

/**
 * Reads the configuration stream into a {@link ConfigHistory}.
 */
final class ConfigHistoryReader {

	/** Records of one read; each can contain a text of up to 4 MB. */
	private static final int PAGE_RECORDS = 16;

	private final ConfigStream stream;

	ConfigHistoryReader(ConfigStream stream) {
		this.stream = stream;
	}

	/**
	 * Reads the whole stream.
	 * @param keptNumber the version whose text is kept, or a negative number
	 * @return the history
	 * @throws CodedException with code {@code LOG_UNAVAILABLE}, also if the log no longer
	 * holds enough records to determine the version in force
	 */
	ConfigHistory read(long keptNumber) {
		ConfigHistory history = new ConfigHistory(keptNumber);
		long head = this.stream.read(0, 1).head();
		if (head > 0) {
			history.adopt(findCheckpoint(head));
		}
		readOn(history);
		return history;
	}

	/**
	 * Applies the records that were appended since the last read.
	 * @param history the history to extend
	 */
	void readOn(ConfigHistory history) {
		while (true) {
			StreamPage page = this.stream.read(history.nextOffset(), PAGE_RECORDS);
			if (page.head() > history.nextOffset()) {
				throw new CodedException(ErrorCode.LOG_UNAVAILABLE,
						"the log dropped records while they were read; run the command again");
			}
			if (page.records().isEmpty()) {
				return;
			}
			page.records().forEach((entry) -> history.apply(entry.offset(), ConfigEntryCodec.decode(entry.data())));
		}
	}

	private CheckpointEntry findCheckpoint(long head) {
		long from = head;
		while (true) {
			StreamPage page = this.stream.read(from, PAGE_RECORDS);
			for (StreamRecord entry : page.records()) {
				Optional<ConfigEntry> decoded = ConfigEntryCodec.decode(entry.data());
				if (decoded.orElse(null) instanceof CheckpointEntry checkpoint
						&& page.head() <= checkpoint.foldedUpTo() + 1) {
					return checkpoint;
				}
				from = entry.offset() + 1;
			}
			if (page.records().isEmpty()) {
				throw new CodedException(ErrorCode.LOG_UNAVAILABLE,
						"the log dropped its oldest records and holds no usable checkpoint; "
								+ "ask the daemons with 'status'");
			}
		}
	}

}
