package org.comfreyslip.clients.record;

import java.util.Optional;

import org.comfreyslip.coordination.audit.AuditRecord;

/**
 * Encoding of the records of the log stream {@code audit}.
 */
public final class AuditRecordCodec {

	private AuditRecordCodec() {
	}

	/**
	 * Encodes a record.
	 * @param entry the record to append to the log
	 * @return the record as JSON in UTF-8
	 */
	public static byte[] encode(AuditRecord entry) {
		return RecordJson.write(entry);
	}

	/**
	 * Decodes a record.
	 * @param json the bytes of a log record
	 * @return the record, or empty if the bytes are no record of this program
	 */
	public static Optional<AuditRecord> decode(byte[] json) {
		return RecordJson.read(json, AuditRecord.class);
	}

}
