package org.comfreyslip.clients.record;

import java.util.Optional;

import org.comfreyslip.coordination.claim.ClaimBatch;

/**
 * Encoding of the records of the log streams {@code claims-0} to {@code claims-7}.
 */
public final class ClaimBatchCodec {

	private ClaimBatchCodec() {
	}

	/**
	 * Encodes a record.
	 * @param entry the record to append to the log
	 * @return the record as JSON in UTF-8
	 */
	public static byte[] encode(ClaimBatch entry) {
		return RecordJson.write(entry);
	}

	/**
	 * Decodes a record.
	 * @param json the bytes of a log record
	 * @return the record, or empty if the bytes are no record of this program
	 */
	public static Optional<ClaimBatch> decode(byte[] json) {
		return RecordJson.read(json, ClaimBatch.class);
	}

}
