package org.comfreyslip.clients.record;

import java.util.Optional;

import org.comfreyslip.coordination.config.ConfigRecord;

/**
 * Encoding of the records of the log stream {@code config}.
 */
public final class ConfigRecordCodec {

	private ConfigRecordCodec() {
	}

	/**
	 * Encodes a record.
	 * @param entry the record to append to the log
	 * @return the record as JSON in UTF-8
	 */
	public static byte[] encode(ConfigRecord entry) {
		return RecordJson.write(entry);
	}

	/**
	 * Decodes a record.
	 * @param json the bytes of a log record
	 * @return the record, or empty if the bytes are no record of this program
	 */
	public static Optional<ConfigRecord> decode(byte[] json) {
		return RecordJson.read(json, ConfigRecord.class);
	}

}
