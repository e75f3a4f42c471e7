package org.comfreyslip.coordination.config;

import java.util.Optional;

import org.comfreyslip.coordination.CodedException;
import org.comfreyslip.coordination.ErrorCode;
import org.comfreyslip.coordination.Invariant;
import org.comfreyslip.coordination.config.ConfigRecord.Proposal;

/**
 * State machine of one proposal. It appends the proposal, and appends the same record
 * again after a lost answer, because only the first record with an id counts. The outcome
 * comes from the log alone: the verdict on the proposal, or the acceptance of another
 * proposal with the same base. The caller reads the log from an offset at or before the
 * first append and passes every verdict on. Not thread-safe.
 */
public final class ConfigProposalAttempt {

	/** Gives the log time to answer before the same record is appended again. */
	private static final long RESEND_NANOS = 1_000_000_000L;

	private final Proposal proposal;

	private final long deadline;

	private boolean inFlight;

	private boolean mayBeInLog;

	private boolean answerLost;

	private boolean answered;

	private boolean readingGap;

	private long nextAppend;

	private Outcome outcome;

	/**
	 * Creates an attempt.
	 * @param proposal the proposal
	 * @param now the current time
	 * @param timeLimit time after which the attempt ends as unknown, in nanoseconds
	 */
	public ConfigProposalAttempt(Proposal proposal, long now, long timeLimit) {
		this.proposal = proposal;
		this.nextAppend = now;
		this.deadline = now + timeLimit;
	}

	/**
	 * Returns what to do now.
	 * @param now the current time
	 * @return the action
	 */
	public Action next(long now) {
		if (this.outcome == null && now - this.deadline >= 0) {
			settle(this.mayBeInLog ? new StillUnknown(this.proposal.id()) : new NotProposed());
		}
		if (this.outcome != null) {
			return Action.STOP;
		}
		if (this.inFlight || this.answered || now - this.nextAppend < 0) {
			return Action.READ_LOG;
		}
		this.inFlight = true;
		this.mayBeInLog = true;
		return Action.APPEND;
	}

	/**
	 * Returns the record to append after {@link Action#APPEND}.
	 * @return the proposal, the same for every append
	 */
	public Proposal proposal() {
		return this.proposal;
	}

	/**
	 * Returns the outcome.
	 * @return the outcome, empty while the attempt is running
	 */
	public Optional<Outcome> outcome() {
		return Optional.ofNullable(this.outcome);
	}

	/**
	 * The append was answered with an offset; the verdict at that offset follows from the
	 * log.
	 */
	public void onAppended() {
		this.inFlight = false;
		this.answered = true;
	}

	/**
	 * The append's answer was lost.
	 * @param now the current time
	 */
	public void onAnswerLost(long now) {
		this.inFlight = false;
		this.answerLost = true;
		this.nextAppend = now + RESEND_NANOS;
	}

	/**
	 * The log refused the append. An earlier append whose answer was lost may still
	 * count.
	 * @param now the current time
	 */
	public void onAppendRefused(long now) {
		this.inFlight = false;
		this.mayBeInLog = this.answerLost;
		this.nextAppend = now + RESEND_NANOS;
	}

	/**
	 * Takes a verdict of the fold.
	 * @param verdict the verdict on any record, in the order of the log
	 */
	public void onVerdict(ConfigVerdict verdict) {
		if (this.outcome != null || this.readingGap) {
			return;
		}
		if (verdict instanceof ConfigVerdict.Accepted accepted) {
			onAccepted(accepted);
		}
		else if (verdict instanceof ConfigVerdict.Refused refused && isOwn(refused.proposalId())) {
			settle(new Refused(refused.winner()));
		}
	}

	/**
	 * The reader skipped records, because the log was trimmed or a peer's state was taken
	 * over. The verdict on the proposal may have been among them.
	 */
	public void onReadingGap() {
		this.readingGap = true;
	}

	private void onAccepted(ConfigVerdict.Accepted accepted) {
		if (isOwn(accepted.proposalId())) {
			Invariant.check(this.mayBeInLog, "proposal " + accepted.proposalId() + " was accepted but not appended");
			settle(new Accepted(accepted.version()));
			return;
		}
		if (accepted.version().number() > this.proposal.base().number()) {
			settle(new Refused(new ConfigWinner(accepted.version(), accepted.author(), accepted.proposalId())));
		}
	}

	private boolean isOwn(String proposalId) {
		return this.proposal.id().equals(proposalId);
	}

	private void settle(Outcome settled) {
		this.outcome = settled;
	}

	/** What the caller does next. */
	public enum Action {

		/** Append the proposal and report the answer. */
		APPEND,

		/** Read the log and report the verdicts. */
		READ_LOG,

		/** Nothing; the outcome is known. */
		STOP

	}

	/** Outcome of an attempt. */
	public sealed interface Outcome {

		/**
		 * Returns normally if the proposal was accepted.
		 * @throws CodedException if it was not, or if that is not known
		 */
		default void orThrow() {
		}

	}

	/**
	 * The proposal is in effect.
	 *
	 * @param version the version, with the log offset of the acceptance
	 */
	public record Accepted(ConfigVersion version) implements Outcome {
	}

	/**
	 * Another proposal was accepted on the same base. The proposal is never accepted.
	 *
	 * @param winner the other proposal
	 */
	public record Refused(ConfigWinner winner) implements Outcome {

		@Override
		public void orThrow() {
			throw new CodedException(ErrorCode.CONFIG_CONFLICT, "version " + this.winner.version().number() + " by '"
					+ this.winner.author() + "' (proposal '" + this.winner.proposalId() + "') was accepted instead");
		}

	}

	/**
	 * The proposal may be accepted later or may have been accepted.
	 *
	 * @param proposalId the id to look for in the log
	 */
	public record StillUnknown(String proposalId) implements Outcome {

		@Override
		public void orThrow() {
			throw new CodedException(ErrorCode.OUTCOME_UNKNOWN,
					"the log did not show the outcome of proposal '" + this.proposalId + "' in time");
		}

	}

	/** The log refused every append, so that the proposal is never accepted. */
	public record NotProposed() implements Outcome {

		@Override
		public void orThrow() {
			throw new CodedException(ErrorCode.LOG_UNAVAILABLE, "the log refused the proposal; nothing was changed");
		}

	}

}
