package org.comfreyslip.coordination.claim;

import java.util.List;

/**
 * The records that one append puts at one offset. A batch that is appended again keeps
 * its identity.
 *
 * @param writer the process that created the batch; a restarted process is another writer
 * @param sequence the number of the batch within its writer and stream
 * @param records the records in their order of effect
 */
public record ClaimBatch(String writer, long sequence, List<ClaimRecord> records) {

	/**
	 * Copies the records.
	 */
	public ClaimBatch {
		records = List.copyOf(records);
	}

}
