package org.comfreyslip.coordination.claim;

import java.util.List;

/**
 * The records that one append stores at one offset. A batch that is appended again keeps
 * its writer and sequence number.
 *
 * @param writer the incarnation of the process that created the batch; a restarted
 * process is another writer
 * @param sequence the number of the batch within its writer and stream
 * @param records the records, in the order in which they take effect
 */
public record ClaimBatch(String writer, long sequence, List<ClaimRecord> records) {

	/**
	 * Copies the records.
	 */
	public ClaimBatch {
		records = List.copyOf(records);
	}

}
