package org.comfreyslip.coordination.claim;

import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.atomic.AtomicBoolean;

import org.comfreyslip.coordination.CallBoundary;
import org.comfreyslip.coordination.CodedException;
import org.comfreyslip.coordination.ErrorCode;

/**
 * The state machine of one attempt at a protected call. It is the only place that decides
 * whether a call is reported as done, not run, refused by the service or of unknown
 * outcome.
 * <p>
 * The attempt claims the key, waits until its own claim is read back, and sends the call
 * only if its claim is the one in force. One worker at a time may call
 * {@link #onEvent(ClaimEvent, long, long)}; {@link #tryStartSending(long)} may be called
 * by another thread.
 */
public final class ProtectedCall {

	private enum State {

		NEW, CLAIMING, SENDING, LOOKING_UP, AWAITING_OUTCOME, FINISHED

	}

	private static final long RETRY_AFTER_MILLIS = 1000;

	private static final long NO_RETRY_MILLIS = -1;

	/**
	 * How long an attempt waits for the outcome of another one that may still send its
	 * call. An outcome is in the log about 100 ms after the service responded.
	 */
	private static final long OUTCOME_WAIT_MILLIS = 1000;

	private final ProtectedRequest request;

	private final IdempotencyKeyPolicy policy;

	private final CallBoundary boundary = new CallBoundary();

	private final AtomicBoolean sendPermissionRequested = new AtomicBoolean();

	private volatile boolean claimWon;

	private volatile boolean claimReleased;

	private State state = State.NEW;

	// Whether the client has been told a result. Later events may still append records.
	private boolean responded;

	// The claim whose outcome is looked up or awaited.
	private ClaimRecord.Claim lookupClaim;

	// Whether the attempt has waited for the outcome of another one; it does so once.
	private boolean outcomeAwaited;

	// When the last look-up was requested.
	private long lookupRequestedEpochMillis;

	/**
	 * Creates a call that has received no event.
	 * @param request the attempt
	 * @param policy decides which keys are accepted, and states the clock margin
	 */
	public ProtectedCall(ProtectedRequest request, IdempotencyKeyPolicy policy) {
		this.request = request;
		this.policy = policy;
	}

	/**
	 * Processes an event. Events that no longer matter in the current state are ignored.
	 * @param event what happened
	 * @param nowNanos the current monotonic time
	 * @param nowEpochMillis the current time in milliseconds since the epoch
	 * @return the actions to carry out, in this order; possibly empty
	 * @throws CodedException with {@link ErrorCode#INVARIANT_VIOLATED} if the event
	 * contradicts the state
	 */
	public List<ClaimAction> onEvent(ClaimEvent event, long nowNanos, long nowEpochMillis) {
		if (event instanceof ClaimEvent.RequestReceived received) {
			return onRequestReceived(received.view(), nowNanos, nowEpochMillis);
		}
		if (event instanceof ClaimEvent.ClaimAppended appended) {
			return readStream(appended.offset());
		}
		if (event instanceof ClaimEvent.AppendOutcomeUnknown) {
			return readStream(ClaimAction.ReadStream.END);
		}
		if (event instanceof ClaimEvent.AppendRefused) {
			return onAppendRefused();
		}
		if (event instanceof ClaimEvent.RecordsRead records) {
			return onRecordsRead(records.view(), nowNanos, nowEpochMillis);
		}
		if (event instanceof ClaimEvent.ResponseReceived received) {
			return onResponseReceived(received.response());
		}
		if (event instanceof ClaimEvent.CallRefused refusal) {
			return onCallRefused(refusal.status());
		}
		if (event instanceof ClaimEvent.CallFailed failure) {
			return onCallFailed(failure, nowEpochMillis);
		}
		if (event instanceof ClaimEvent.DeadlinePassed) {
			return onDeadlinePassed();
		}
		if (event instanceof ClaimEvent.OutcomeWaitEnded) {
			return onOutcomeWaitEnded(nowEpochMillis);
		}
		return onLookupEnded(event, nowEpochMillis);
	}

	/**
	 * Requests permission to send the first byte of the call.
	 * @param nowNanos the current monotonic time
	 * @return {@code false} if send-by has passed or the client was told that the call
	 * was not run; then no byte may be sent
	 * @throws CodedException with {@link ErrorCode#INVARIANT_VIOLATED} if the claim is
	 * not known to be in force or was released, or if permission was requested before
	 */
	public boolean tryStartSending(long nowNanos) {
		require(this.claimWon, "call sent before its claim was read back as the one in force");
		require(this.sendPermissionRequested.compareAndSet(false, true), "call sent twice");
		boolean inTime = nowNanos - this.request.sendByNanos() < 0;
		boolean started = inTime && this.boundary.tryOpen();
		require(!started || !this.claimReleased, "call sent after its claim was released");
		return started;
	}

	/**
	 * Returns whether permission to send the first byte was requested. Until then the
	 * call may be sent to another endpoint, for example after a refused connection.
	 * @return {@code true} after {@link #tryStartSending(long)}
	 */
	public boolean isSendPermissionRequested() {
		return this.sendPermissionRequested.get();
	}

	private List<ClaimAction> onRequestReceived(ClaimView view, long nowNanos, long nowEpochMillis) {
		require(this.state == State.NEW, "protected call received its request twice");
		KeyCheckResult keyCheck = this.policy.check(this.request.key(), nowEpochMillis);
		if (keyCheck != KeyCheckResult.ACCEPTED) {
			return respondNotRun(keyCheck.code(), keyCheck.message(), NO_RETRY_MILLIS);
		}
		if (isPastSendBy(nowNanos)) {
			return respondNotRun(ErrorCode.DEADLINE_EXCEEDED, "send-by passed before the claim", NO_RETRY_MILLIS);
		}
		if (!view.complete()) {
			return respondNotReady();
		}
		if (view.status() != ClaimStatus.FREE) {
			return resolveWithEarlierClaim(view, nowEpochMillis);
		}
		if (view.claimLimitReached()) {
			return respondNotRun(ErrorCode.KEY_EXPIRED, "the idempotency key was claimed and released too often",
					NO_RETRY_MILLIS);
		}
		this.state = State.CLAIMING;
		return List.of(new ClaimAction.AppendRecord(this.request.claim()));
	}

	private List<ClaimAction> readStream(long throughOffset) {
		return (this.state == State.CLAIMING) ? List.of(new ClaimAction.ReadStream(throughOffset)) : List.of();
	}

	private List<ClaimAction> onAppendRefused() {
		if (this.state != State.CLAIMING) {
			return List.of();
		}
		return respondNotRun(ErrorCode.LOG_UNAVAILABLE, "the log refused the claim", RETRY_AFTER_MILLIS);
	}

	private List<ClaimAction> onRecordsRead(ClaimView view, long nowNanos, long nowEpochMillis) {
		if (this.state == State.AWAITING_OUTCOME) {
			return onRecordsReadWhileAwaiting(view);
		}
		if (this.state != State.CLAIMING) {
			return List.of();
		}
		if (!view.complete()) {
			return respondAndReleaseClaim(respondNotReady());
		}
		if (!view.ownClaimRead()) {
			return List.of();
		}
		if (view.status() == ClaimStatus.FREE) {
			return respondNotRun(ErrorCode.OVERLOADED, "another attempt with this key gave up", RETRY_AFTER_MILLIS);
		}
		if (view.status() == ClaimStatus.DONE || !view.isClaimedBy(this.request.nonce())) {
			return resolveWithEarlierClaim(view, nowEpochMillis);
		}
		if (isPastSendBy(nowNanos)) {
			return respondAndReleaseClaim(respondNotRun(ErrorCode.DEADLINE_EXCEEDED,
					"send-by passed before the claim was read back", NO_RETRY_MILLIS));
		}
		return sendCall();
	}

	private List<ClaimAction> sendCall() {
		require(!this.claimWon && !this.claimReleased, "call sent twice or after its claim was released");
		this.claimWon = true;
		this.state = State.SENDING;
		return List.of(new ClaimAction.SendCall(this.request.nonce(), this.request.sendByEpochMillis()));
	}

	private List<ClaimAction> resolveWithEarlierClaim(ClaimView view, long nowEpochMillis) {
		if (!view.claim().requestDigest().equals(this.request.requestDigest())) {
			return respondNotRun(ErrorCode.KEY_REUSED, "the idempotency key belongs to a different request",
					NO_RETRY_MILLIS);
		}
		if (view.status() == ClaimStatus.DONE) {
			this.state = State.FINISHED;
			return List.of(respond(new ClaimResult.Done(view.outcome().response(), true)));
		}
		return lookUpOrRespondUnknown(view.claim(), nowEpochMillis);
	}

	private List<ClaimAction> lookUpOrRespondUnknown(ClaimRecord.Claim claim, long nowEpochMillis) {
		this.lookupClaim = claim;
		if (!this.request.canLookUp()) {
			return awaitOutcomeOrRespondUnknown(nowEpochMillis);
		}
		this.state = State.LOOKING_UP;
		this.lookupRequestedEpochMillis = nowEpochMillis;
		return List.of(new ClaimAction.LookUp(this.request.key()));
	}

	private List<ClaimAction> onResponseReceived(RecordedResponse response) {
		require(this.claimWon && this.boundary.isOpen(), "response received for a call that was never sent");
		require(!this.claimReleased, "response received for a call whose claim was released");
		require(this.state == State.SENDING, "response received twice or after the call failed");
		this.state = State.FINISHED;
		List<ClaimAction> actions = new ArrayList<>();
		actions.add(appendRecord(outcomeRecord(this.request.nonce(), false, response)));
		if (!this.responded) {
			actions.add(respond(new ClaimResult.Done(response, false)));
		}
		return actions;
	}

	// The claim may be released although bytes were sent, because the service states that
	// it did not execute the call.
	private List<ClaimAction> onCallRefused(int status) {
		require(this.claimWon && this.boundary.isOpen(),
				"refusal by the service received for a call that was never sent");
		require(this.state == State.SENDING, "refusal by the service received after the call had ended");
		this.state = State.FINISHED;
		this.claimReleased = true;
		List<ClaimAction> actions = new ArrayList<>();
		actions.add(appendRecord(this.request.release()));
		if (!this.responded) {
			CodedException error = this.boundary.failCall(ErrorCode.OVERLOADED,
					"the service refused the call with status " + status + "; repeat it with the same key",
					RETRY_AFTER_MILLIS);
			actions.add(respond(new ClaimResult.Refused(error)));
		}
		return actions;
	}

	private List<ClaimAction> onCallFailed(ClaimEvent.CallFailed failure, long nowEpochMillis) {
		if (this.state != State.SENDING) {
			return List.of();
		}
		if (failure.firstByteSent()) {
			require(this.boundary.isOpen(), "bytes of a call sent without permission");
			return lookUpOrRespondUnknown(this.request.claim(), nowEpochMillis);
		}
		return respondAndReleaseClaim(respondNotRun(failure.code(), failure.message(), RETRY_AFTER_MILLIS));
	}

	private List<ClaimAction> onLookupEnded(ClaimEvent event, long nowEpochMillis) {
		if (this.state != State.LOOKING_UP) {
			return List.of();
		}
		this.state = State.FINISHED;
		if (event instanceof ClaimEvent.LookupFound found) {
			return onLookupFound(found.response());
		}
		if (event instanceof ClaimEvent.LookupNotFound && isExecutionRuledOut()) {
			return releaseLookedUpClaim();
		}
		return awaitOutcomeOrRespondUnknown(nowEpochMillis);
	}

	// An attempt that may still send its call is likely to record an outcome soon.
	private List<ClaimAction> awaitOutcomeOrRespondUnknown(long nowEpochMillis) {
		boolean otherMayStillSend = !this.claimWon && nowEpochMillis <= this.lookupClaim.sendByEpochMillis();
		if (!otherMayStillSend || this.outcomeAwaited || this.responded) {
			this.state = State.FINISHED;
			return respondUnknown();
		}
		this.outcomeAwaited = true;
		this.state = State.AWAITING_OUTCOME;
		return List.of(new ClaimAction.AwaitOutcome(OUTCOME_WAIT_MILLIS));
	}

	private List<ClaimAction> onOutcomeWaitEnded(long nowEpochMillis) {
		if (this.state != State.AWAITING_OUTCOME) {
			return List.of();
		}
		return lookUpOrRespondUnknown(this.lookupClaim, nowEpochMillis);
	}

	private List<ClaimAction> onRecordsReadWhileAwaiting(ClaimView view) {
		if (!view.complete() || view.isClaimedBy(this.lookupClaim.nonce()) && view.status() == ClaimStatus.CLAIMED) {
			return List.of();
		}
		if (view.status() == ClaimStatus.DONE) {
			this.state = State.FINISHED;
			return List.of(respond(new ClaimResult.Done(view.outcome().response(), true)));
		}
		return respondNotRun(ErrorCode.OVERLOADED, "another attempt with this key gave up", RETRY_AFTER_MILLIS);
	}

	private List<ClaimAction> onLookupFound(RecordedResponse response) {
		List<ClaimAction> actions = new ArrayList<>();
		actions.add(appendRecord(outcomeRecord(this.lookupClaim.nonce(), true, response)));
		if (!this.responded) {
			// The result may be that of another attempt even if this attempt sent its
			// call: the call may have been lost, and its claim released after a look-up
			// by another attempt.
			actions.add(respond(new ClaimResult.Done(response, true)));
		}
		return actions;
	}

	// Compares the time at which the look-up was requested, not that of its response: the
	// call may have been executed while the response was in transit.
	private boolean isExecutionRuledOut() {
		long margin = this.policy.clockMarginMillis();
		return this.request.enforcesSendBy()
				&& this.lookupRequestedEpochMillis > this.lookupClaim.sendByEpochMillis() + margin;
	}

	private List<ClaimAction> releaseLookedUpClaim() {
		List<ClaimAction> actions = new ArrayList<>();
		actions.add(appendRecord(new ClaimRecord.Release(this.request.key(), this.lookupClaim.nonce())));
		if (this.boundary.isOpen() || this.responded) {
			actions.addAll(respondUnknown());
			return actions;
		}
		actions.addAll(respondNotRun(ErrorCode.OVERLOADED, "an earlier attempt ended without being executed",
				RETRY_AFTER_MILLIS));
		return actions;
	}

	private List<ClaimAction> onDeadlinePassed() {
		if (this.responded || this.state == State.FINISHED) {
			return List.of();
		}
		if (this.state == State.LOOKING_UP) {
			return respondUnknown();
		}
		if (this.state == State.AWAITING_OUTCOME) {
			this.state = State.FINISHED;
			return respondUnknown();
		}
		CodedException error = this.boundary.failCall(ErrorCode.DEADLINE_EXCEEDED,
				"the deadline passed before the service responded", NO_RETRY_MILLIS);
		if (!error.isNotRun()) {
			return respondUnknown();
		}
		boolean claimed = this.state != State.NEW;
		this.state = State.FINISHED;
		List<ClaimAction> response = List.of(respond(new ClaimResult.NotRun(error)));
		return claimed ? respondAndReleaseClaim(response) : response;
	}

	private List<ClaimAction> respondNotReady() {
		return respondNotRun(ErrorCode.NOT_READY, "the claims of this key have not been read completely",
				RETRY_AFTER_MILLIS);
	}

	private List<ClaimAction> respondNotRun(ErrorCode code, String message, long retryAfterMillis) {
		CodedException error = this.boundary.closeAsNotRun(code, message, retryAfterMillis);
		this.state = State.FINISHED;
		return List.of(respond(new ClaimResult.NotRun(error)));
	}

	private List<ClaimAction> respondAndReleaseClaim(List<ClaimAction> response) {
		require(!this.boundary.isOpen(), "claim released after the call was sent");
		this.claimReleased = true;
		List<ClaimAction> actions = new ArrayList<>(response);
		actions.add(appendRecord(this.request.release()));
		return actions;
	}

	private List<ClaimAction> respondUnknown() {
		if (this.responded) {
			return List.of();
		}
		CodedException error = new CodedException(ErrorCode.OUTCOME_UNKNOWN,
				"the outcome is not known; look it up at " + this.request.lookupPath());
		return List.of(respond(new ClaimResult.Unknown(error, this.request.lookupPath())));
	}

	private ClaimAction respond(ClaimResult result) {
		require(!this.responded, "client was sent two responses");
		this.responded = true;
		return new ClaimAction.Respond(result);
	}

	private ClaimRecord.Outcome outcomeRecord(String nonce, boolean fromLookup, RecordedResponse response) {
		return new ClaimRecord.Outcome(this.request.key(), nonce, fromLookup, response);
	}

	private static ClaimAction appendRecord(ClaimRecord record) {
		return new ClaimAction.AppendRecord(record);
	}

	private boolean isPastSendBy(long nowNanos) {
		return nowNanos - this.request.sendByNanos() >= 0;
	}

	private void require(boolean condition, String violation) {
		if (!condition) {
			throw new CodedException(ErrorCode.INVARIANT_VIOLATED,
					violation + " (attempt " + this.request.nonce() + ", key " + this.request.key().key() + ")");
		}
	}

}
