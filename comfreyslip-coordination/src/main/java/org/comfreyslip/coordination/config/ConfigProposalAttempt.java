package org.comfreyslip.coordination.config;

import java.util.Optional;

import org.comfreyslip.coordination.CodedException;
import org.comfreyslip.coordination.ErrorCode;
import org.comfreyslip.coordination.Invariant;
import org.comfreyslip.coordination.config.ConfigRecord.Proposal;

/**
 * State machine of one proposal. It appends the proposal, and appends the same record
 * again if the outcome of the append is unknown; this is idempotent, because only the
 * first record with an id counts. The outcome follows from the log alone: from the
 * verdict on the proposal, or from the acceptance of another proposal with the same base.
 * The caller reads the log from an offset at or before the first append and reports every
 * verdict. Not thread-safe.
 */
public final class ConfigProposalAttempt {

	/** Time for the log to acknowledge an append before the record is appended again. */
	private static final long RESEND_NANOS = 1_000_000_000L;

	private final Proposal proposal;

	private final long deadlineNanos;

	private boolean appendInFlight;

	private boolean mayBeInLog;

	private boolean appendOutcomeUnknown;

	private boolean appended;

	private boolean verdictMayBeMissed;

	private long nextAppendNanos;

	private Outcome outcome;

	/**
	 * Creates an attempt.
	 * @param proposal the proposal to append
	 * @param nowNanos monotonic time in nanoseconds
	 * @param timeLimitNanos time after which the attempt ends without a known outcome, in
	 * nanoseconds
	 */
	public ConfigProposalAttempt(Proposal proposal, long nowNanos, long timeLimitNanos) {
		this.proposal = proposal;
		this.nextAppendNanos = nowNanos;
		this.deadlineNanos = nowNanos + timeLimitNanos;
	}

	/**
	 * Advances the time and returns what the caller has to do now.
	 * @param nowNanos monotonic time in nanoseconds
	 * @return the action; after {@link Action#APPEND} the append counts as in flight
	 * until its result is reported
	 */
	public Action nextAction(long nowNanos) {
		if (this.outcome == null && nowNanos - this.deadlineNanos >= 0) {
			finish(this.mayBeInLog ? new OutcomeUnknown(this.proposal.id()) : new NotProposed());
		}
		if (this.outcome != null) {
			return Action.STOP;
		}
		if (this.appendInFlight || this.appended || nowNanos - this.nextAppendNanos < 0) {
			return Action.READ_LOG;
		}
		this.appendInFlight = true;
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
	 * Records that the log acknowledged the append with an offset. The verdict at that
	 * offset follows from reading the log.
	 */
	public void onAppended() {
		this.appendInFlight = false;
		this.appended = true;
	}

	/**
	 * Records that the append has no result; the record may be in the log or reach it
	 * later.
	 * @param nowNanos monotonic time in nanoseconds
	 */
	public void onAppendOutcomeUnknown(long nowNanos) {
		this.appendInFlight = false;
		this.appendOutcomeUnknown = true;
		this.nextAppendNanos = nowNanos + RESEND_NANOS;
	}

	/**
	 * Records that the log refused the append. An earlier append with an unknown outcome
	 * may still take effect.
	 * @param nowNanos monotonic time in nanoseconds
	 */
	public void onAppendRefused(long nowNanos) {
		this.appendInFlight = false;
		this.mayBeInLog = this.appendOutcomeUnknown;
		this.nextAppendNanos = nowNanos + RESEND_NANOS;
	}

	/**
	 * Processes a verdict of the fold.
	 * @param verdict the verdict on any record, in the order of the log
	 */
	public void onVerdict(ConfigVerdict verdict) {
		if (this.outcome != null || this.verdictMayBeMissed) {
			return;
		}
		if (verdict instanceof ConfigVerdict.Accepted accepted) {
			onAccepted(accepted);
		}
		else if (verdict instanceof ConfigVerdict.Refused refused && isOwnProposal(refused.proposalId())) {
			finish(new Refused(refused.winner()));
		}
	}

	/**
	 * Records that the reader missed records, because the log was trimmed or because it
	 * adopted a peer's state. The verdict on the proposal may have been among them, so
	 * later verdicts no longer decide the outcome.
	 */
	public void onRecordsMissed() {
		this.verdictMayBeMissed = true;
	}

	private void onAccepted(ConfigVerdict.Accepted accepted) {
		if (isOwnProposal(accepted.proposalId())) {
			Invariant.check(this.mayBeInLog, "proposal " + accepted.proposalId() + " was accepted but not appended");
			finish(new Accepted(accepted.version()));
			return;
		}
		if (accepted.version().number() > this.proposal.base().number()) {
			finish(new Refused(new ConfigWinner(accepted.version(), accepted.author(), accepted.proposalId())));
		}
	}

	private boolean isOwnProposal(String proposalId) {
		return this.proposal.id().equals(proposalId);
	}

	private void finish(Outcome result) {
		this.outcome = result;
	}

	/** What the caller does next. */
	public enum Action {

		/** Append the proposal and report the result of the append. */
		APPEND,

		/** Read the log and report the verdicts. */
		READ_LOG,

		/** Nothing; the attempt has ended. */
		STOP

	}

	/** Outcome of an attempt. */
	public sealed interface Outcome {

		/**
		 * Returns normally if the proposal was accepted.
		 * @throws CodedException with {@link ErrorCode#CONFIG_CONFLICT} if another
		 * proposal was accepted, {@link ErrorCode#OUTCOME_UNKNOWN} if the outcome is not
		 * known, or {@link ErrorCode#LOG_UNAVAILABLE} if the log refused every append
		 */
		default void throwIfNotAccepted() {
		}

	}

	/**
	 * The proposal is in effect.
	 *
	 * @param version the new version, with the log offset of the accepted proposal
	 */
	public record Accepted(ConfigVersion version) implements Outcome {
	}

	/**
	 * Another proposal was accepted on the same base, so that this one can never be
	 * accepted.
	 *
	 * @param winner the accepted proposal
	 */
	public record Refused(ConfigWinner winner) implements Outcome {

		@Override
		public void throwIfNotAccepted() {
			throw new CodedException(ErrorCode.CONFIG_CONFLICT, "version " + this.winner.version().number() + " by '"
					+ this.winner.author() + "' (proposal '" + this.winner.proposalId() + "') was accepted instead");
		}

	}

	/**
	 * It is not known whether the proposal was accepted, or will be when a delayed append
	 * reaches the log.
	 *
	 * @param proposalId the id to look up in the log later
	 */
	public record OutcomeUnknown(String proposalId) implements Outcome {

		@Override
		public void throwIfNotAccepted() {
			throw new CodedException(ErrorCode.OUTCOME_UNKNOWN,
					"the log did not show the outcome of proposal '" + this.proposalId + "' within the time limit");
		}

	}

	/** The log refused every append, so that the proposal can never be accepted. */
	public record NotProposed() implements Outcome {

		@Override
		public void throwIfNotAccepted() {
			throw new CodedException(ErrorCode.LOG_UNAVAILABLE, "the log refused the proposal; nothing was changed");
		}

	}

}
