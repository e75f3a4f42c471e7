package org.comfreyslip.daemon.audit;

import java.io.ByteArrayOutputStream;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;

import org.comfreyslip.clients.record.AuditRecordCodec;
import org.comfreyslip.coordination.audit.AuditRecord;

/**
 * Encodes a batch of audit entries as one log record, with one JSON object per line. JSON
 * strings contain no unescaped line end, so each line is one entry.
 */
public final class AuditBatchCodec {

	private static final byte LINE_END = '\n';

	private AuditBatchCodec() {
	}

	/**
	 * Encodes a batch.
	 * @param batch the entries, in the order of the chain
	 * @return the lines in UTF-8, each with a line end
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
	 * @return the entries; lines that are not valid audit entries are skipped
	 */
	public static List<AuditRecord> decode(byte[] bytes) {
		List<AuditRecord> batch = new ArrayList<>();
		new String(bytes, StandardCharsets.UTF_8).lines()
			.map((line) -> AuditRecordCodec.decode(line.getBytes(StandardCharsets.UTF_8)))
			.forEach((entry) -> entry.ifPresent(batch::add));
		return batch;
	}

}
