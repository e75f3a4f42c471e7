package org.comfreyslip.clients.record;

import java.util.Optional;

import org.comfreyslip.coordination.lease.LeaseRecord;

/**
 * Encoding of the records of the log stream {@code leases}.
 */
public final class LeaseRecordCodec {

	private LeaseRecordCodec() {
	}

	/**
	 * Encodes a record.
	 * @param entry the record to append to the log
	 * @return the record as JSON in UTF-8
	 */
	public static byte[] encode(LeaseRecord entry) {
		return RecordJson.write(entry);
	}

	/**
	 * Decodes a record.
	 * @param json the bytes of a log record
	 * @return the record, or empty if the bytes are no record of this program
	 */
	public static Optional<LeaseRecord> decode(byte[] json) {
		return RecordJson.read(json, LeaseRecord.class);
	}

}
