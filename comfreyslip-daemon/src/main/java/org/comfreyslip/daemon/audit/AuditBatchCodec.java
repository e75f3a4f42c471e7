package org.comfreyslip.daemon.audit;

import java.io.ByteArrayOutputStream;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;

import org.comfreyslip.clients.record.AuditRecordCodec;
import org.comfreyslip.coordination.audit.AuditRecord;

/**
 * Encoding of a batch as one log record: one JSON object a line. JSON strings contain no
 * raw line end, so that each line is one entry.
 */
public final class AuditBatchCodec {

	private static final byte LINE_END = '\n';

	private AuditBatchCodec() {
	}

	/**
	 * Encodes a batch.
	 * @param batch the entries
	 * @return the lines in UTF-8
	 */
	public static byte[] encode(List<AuditRecord> batch) {
		ByteArrayOutputStream out = new ByteArrayOutputStream();
		for (AuditRecord entry : batch) {
			out.writeBytes(AuditRecordCodec.encode(entry));
			out.write(LINE_END);
		}
		return out.toByteArray();
	}

	/**
	 * Decodes a batch.
	 * @param bytes the bytes of a log record
	 * @return the entries; lines that are no entry of this program are left out
	 */
	public static List<AuditRecord> decode(byte[] bytes) {
		List<AuditRecord> batch = new ArrayList<>();
		new String(bytes, StandardCharsets.UTF_8).lines()
			.map((line) -> AuditRecordCodec.decode(line.getBytes(StandardCharsets.UTF_8)))
			.forEach((entry) -> entry.ifPresent(batch::add));
		return batch;
	}

}
