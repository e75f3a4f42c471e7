package org.comfreyslip.operator;

import org.comfreyslip.coordination.CodedException;
import org.comfreyslip.coordination.ErrorCode;
import org.comfreyslip.coordination.config.ConfigProposalAttempt;
import org.comfreyslip.coordination.config.ConfigProposalAttempt.Action;
import org.comfreyslip.coordination.config.ConfigRecord.Proposal;

/**
 * Appends a proposal and reads the log until it decides the proposal.
 */
final class ProposalSettler {

	/** How long to read for the proposal's record, in milliseconds. */
	static final long SETTLE_MILLIS = 15_000;

	private static final long POLL_MILLIS = 250;

	private static final long NANOS_PER_MILLI = 1_000_000;

	private final ConfigHistoryReader reader;

	private final Invocation invocation;

	private boolean mayBeInLog;

	private String problem = "the log does not hold it";

	/**
	 * Creates a settler of one proposal.
	 * @param reader the configuration stream
	 * @param invocation time and output
	 * @param appendedBefore whether an earlier run may have appended the proposal
	 */
	ProposalSettler(ConfigHistoryReader reader, Invocation invocation, boolean appendedBefore) {
		this.reader = reader;
		this.invocation = invocation;
		this.mayBeInLog = appendedBefore;
	}

	/**
	 * Appends and reads until the history holds a decision.
	 * @param proposal the proposal
	 * @param history the history to extend
	 * @throws CodedException with code {@code OUTCOME_UNKNOWN} if the log shows no
	 * decision in time, {@code LOG_UNAVAILABLE} if the log refused the proposal
	 */
	void settle(Proposal proposal, ConfigHistory history) {
		ConfigProposalAttempt attempt = new ConfigProposalAttempt(proposal, now(), SETTLE_MILLIS * NANOS_PER_MILLI);
		for (Action action = attempt.nextAction(now()); action != Action.STOP; action = attempt.nextAction(now())) {
			if (action == Action.APPEND) {
				append(attempt);
			}
			else {
				read(attempt, history);
			}
		}
		if (attempt.outcome().orElseThrow() instanceof ConfigProposalAttempt.OutcomeUnknown) {
			throw new CodedException(ErrorCode.OUTCOME_UNKNOWN,
					"the outcome of proposal " + proposal.id() + " is unknown (" + this.problem
							+ "); run propose again with the same file and author and --base "
							+ proposal.base().number() + " --id " + proposal.id() + ", which cannot be accepted twice");
		}
	}

	private void append(ConfigProposalAttempt attempt) {
		try {
			this.reader.append(attempt.proposal());
			attempt.onAppended();
		}
		catch (CodedException ex) {
			if (ex.code() == ErrorCode.OUTCOME_UNKNOWN) {
				noteLoss(ex);
			}
			if (!this.mayBeInLog) {
				throw new CodedException(ErrorCode.LOG_UNAVAILABLE, ex.getMessage(), ex);
			}
			// A refusal says nothing about an earlier append of the same record.
			attempt.onAppendOutcomeUnknown(now());
		}
	}

	private void noteLoss(CodedException ex) {
		if (!this.mayBeInLog) {
			this.invocation.console()
				.note("unknown whether the log took the proposal; reading the log: " + ex.getMessage());
		}
		this.mayBeInLog = true;
	}

	private void read(ConfigProposalAttempt attempt, ConfigHistory history) {
		try {
			this.reader.readOn(history, attempt::onVerdict);
		}
		catch (CodedException ex) {
			if (ex.code() != ErrorCode.LOG_UNAVAILABLE) {
				throw ex;
			}
			this.problem = ex.getMessage();
		}
		if (attempt.outcome().isEmpty()) {
			this.invocation.ticker().sleepMillis(POLL_MILLIS);
		}
	}

	private long now() {
		return this.invocation.ticker().nowNanos();
	}

}
