package org.comfreyslip.operator;

/**
 * How the log's order decided a proposal.
 *
 * @param id the proposal's id
 * @param author its author
 * @param offset its offset
 * @param accepted whether it became a version
 * @param skipped whether the record was passed over because its content is inconsistent
 * @param number its version number if accepted, else the number then in force
 * @param digest digest of its text
 */
record ProposalDecision(String id, String author, long offset, boolean accepted, boolean skipped, long number,
		String digest) {
}
