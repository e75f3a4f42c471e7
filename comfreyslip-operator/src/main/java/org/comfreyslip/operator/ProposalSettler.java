package org.comfreyslip.operator;

import org.comfreyslip.coordination.CodedException;
import org.comfreyslip.coordination.ErrorCode;

/**
 * Reads the log until it decides a proposal.
 */
final class ProposalSettler {

	/** How long to read for the proposal's record, in milliseconds. */
	static final long SETTLE_MILLIS = 15_000;

	private static final long POLL_MILLIS = 250;

	private static final long NANOS_PER_MILLI = 1_000_000;

	private final ConfigHistoryReader reader;

	private final Ticker ticker;

	ProposalSettler(ConfigHistoryReader reader, Ticker ticker) {
		this.reader = reader;
		this.ticker = ticker;
	}

	/**
	 * Reads until the history holds a decision.
	 * @param id the proposal's id
	 * @param base the base version's number
	 * @param history the history to extend
	 * @throws CodedException with code {@code OUTCOME_UNKNOWN} if the log shows no
	 * decision in time
	 */
	void settle(String id, long base, ConfigHistory history) {
		long deadline = this.ticker.nowNanos() + SETTLE_MILLIS * NANOS_PER_MILLI;
		String problem = "the log does not hold it";
		while (true) {
			try {
				this.reader.readOn(history);
				if (history.findDecision(id).isPresent()) {
					return;
				}
			}
			catch (CodedException ex) {
				problem = ex.getMessage();
			}
			if (this.ticker.nowNanos() >= deadline) {
				throw new CodedException(ErrorCode.OUTCOME_UNKNOWN,
						"the outcome of proposal " + id + " is unknown (" + problem
								+ "); run propose again with --base " + base + " --id " + id
								+ ", which cannot be accepted twice");
			}
			this.ticker.sleepMillis(POLL_MILLIS);
		}
	}

}
