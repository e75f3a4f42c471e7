package org.comfreyslip.coordination.claim;

import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.atomic.AtomicBoolean;

import org.comfreyslip.coordination.CallBoundary;
import org.comfreyslip.coordination.CodedException;
import org.comfreyslip.coordination.ErrorCode;

/**
 * The state machine of one attempt at a protected call. It is the single place that
 * decides between done, not run and unknown.
 * <p>
 * The attempt claims the key, waits until its own claim is read back, and sends the call
 * only if its claim is the one in force. One worker at a time may call
 * {@link #on(ClaimEvent, long, long)}; {@link #tryStart(long)} may be called by another
 * thread.
 */
public final class ProtectedCall {

	private enum State {

		NEW, CLAIMING, SENDING, LOOKING_UP, AWAITING_OUTCOME, FINISHED

	}

	private static final long RETRY_AFTER_MILLIS = 1000;

	private static final long NO_RETRY_MILLIS = -1;

	/**
	 * How long an attempt waits for the outcome of another one that is still under way.
	 * An outcome is in the log about 100 ms after the service responded.
	 */
	private static final long OUTCOME_WAIT_MILLIS = 1000;

	private final ProtectedRequest request;

	private final IdempotencyKeyPolicy policy;

	private final CallBoundary boundary = new CallBoundary();

	private final AtomicBoolean startAsked = new AtomicBoolean();

	private volatile boolean won;

	private volatile boolean released;

	private State state = State.NEW;

	private boolean answered;

	// The claim that a look-up is about, and when the look-up was asked for.
	private ClaimRecord.Claim lookupClaim;

	private boolean waited;

	private long lookupEpochMillis;

	/**
	 * Creates a call that has not started.
	 * @param request the attempt
	 * @param policy the window of keys and the clock margin
	 */
	public ProtectedCall(ProtectedRequest request, IdempotencyKeyPolicy policy) {
		this.request = request;
		this.policy = policy;
	}

	/**
	 * Takes an event.
	 * @param event what happened
	 * @param nowNanos the current monotonic time
	 * @param nowEpochMillis the current time in milliseconds since the epoch
	 * @return what to do, in this order
	 * @throws CodedException with {@link ErrorCode#INVARIANT_VIOLATED} if the event
	 * contradicts the state
	 */
	public List<ClaimAction> on(ClaimEvent event, long nowNanos, long nowEpochMillis) {
		if (event instanceof ClaimEvent.Started started) {
			return onStarted(started.view(), nowNanos, nowEpochMillis);
		}
		if (event instanceof ClaimEvent.ClaimAppended appended) {
			return read(appended.offset());
		}
		if (event instanceof ClaimEvent.AppendUnknown) {
			return read(ClaimAction.ReadStream.END);
		}
		if (event instanceof ClaimEvent.AppendRefused) {
			return onAppendRefused();
		}
		if (event instanceof ClaimEvent.RecordsRead records) {
			return onRecordsRead(records.view(), nowNanos, nowEpochMillis);
		}
		if (event instanceof ClaimEvent.CallAnswered call) {
			return onCallAnswered(call.response());
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
		return onLookup(event, nowEpochMillis);
	}

	/**
	 * Asks for permission to send the first byte of the call.
	 * @param nowNanos the current monotonic time
	 * @return {@code false} if send-by has passed or the caller was told that the call
	 * was not run; then no byte may leave
	 * @throws CodedException with {@link ErrorCode#INVARIANT_VIOLATED} if the claim was
	 * not won, was released, or permission was asked before
	 */
	public boolean tryStart(long nowNanos) {
		require(this.won, "call sent without a claim that was read back as the winner");
		require(this.startAsked.compareAndSet(false, true), "call sent twice");
		boolean inTime = nowNanos - this.request.sendByNanos() < 0;
		boolean started = inTime && this.boundary.tryOpen();
		require(!started || !this.released, "call sent after its claim was released");
		return started;
	}

	/**
	 * Returns whether permission for the first byte was asked. Until then the call may be
	 * offered to another endpoint, for example after a refused connection.
	 * @return {@code true} after {@link #tryStart(long)}
	 */
	public boolean isStartAsked() {
		return this.startAsked.get();
	}

	private List<ClaimAction> onStarted(ClaimView view, long nowNanos, long nowEpochMillis) {
		require(this.state == State.NEW, "protected call started twice");
		KeyVerdict verdict = this.policy.judge(this.request.key(), nowEpochMillis);
		if (verdict != KeyVerdict.ACCEPTED) {
			return refuse(verdict.code(), verdict.message(), NO_RETRY_MILLIS);
		}
		if (isPastSendBy(nowNanos)) {
			return refuse(ErrorCode.DEADLINE_EXCEEDED, "send-by passed before the claim", NO_RETRY_MILLIS);
		}
		if (!view.complete()) {
			return refuseIncomplete();
		}
		if (view.status() != ClaimStatus.FREE) {
			return settleWithEarlier(view, nowEpochMillis);
		}
		if (view.exhausted()) {
			return refuse(ErrorCode.KEY_EXPIRED, "the idempotency key was claimed and released too often",
					NO_RETRY_MILLIS);
		}
		this.state = State.CLAIMING;
		return List.of(new ClaimAction.AppendRecord(this.request.claim()));
	}

	private List<ClaimAction> read(long throughOffset) {
		return (this.state == State.CLAIMING) ? List.of(new ClaimAction.ReadStream(throughOffset)) : List.of();
	}

	private List<ClaimAction> onAppendRefused() {
		if (this.state != State.CLAIMING) {
			return List.of();
		}
		return refuse(ErrorCode.LOG_UNAVAILABLE, "the log refused the claim", RETRY_AFTER_MILLIS);
	}

	private List<ClaimAction> onRecordsRead(ClaimView view, long nowNanos, long nowEpochMillis) {
		if (this.state == State.AWAITING_OUTCOME) {
			return onRecordsWhileAwaiting(view);
		}
		if (this.state != State.CLAIMING) {
			return List.of();
		}
		if (!view.complete()) {
			return releaseAndAnswer(refuseIncomplete());
		}
		if (!view.nonceSeen()) {
			return List.of();
		}
		if (view.status() == ClaimStatus.FREE) {
			return refuse(ErrorCode.OVERLOADED, "another attempt with this key gave up", RETRY_AFTER_MILLIS);
		}
		if (view.status() == ClaimStatus.DONE || !view.isWonBy(this.request.nonce())) {
			return settleWithEarlier(view, nowEpochMillis);
		}
		if (isPastSendBy(nowNanos)) {
			return releaseAndAnswer(refuse(ErrorCode.DEADLINE_EXCEEDED, "send-by passed before the claim was read back",
					NO_RETRY_MILLIS));
		}
		return send();
	}

	private List<ClaimAction> send() {
		require(!this.won && !this.released, "call ordered twice or after a release");
		this.won = true;
		this.state = State.SENDING;
		return List.of(new ClaimAction.SendCall(this.request.nonce(), this.request.sendByEpochMillis()));
	}

	private List<ClaimAction> settleWithEarlier(ClaimView view, long nowEpochMillis) {
		if (!view.claim().requestDigest().equals(this.request.requestDigest())) {
			return refuse(ErrorCode.KEY_REUSED, "the idempotency key belongs to a different request", NO_RETRY_MILLIS);
		}
		if (view.status() == ClaimStatus.DONE) {
			this.state = State.FINISHED;
			return List.of(answer(new ClaimResult.Done(view.outcome().response(), true)));
		}
		return lookUpOrUnknown(view.claim(), nowEpochMillis);
	}

	private List<ClaimAction> lookUpOrUnknown(ClaimRecord.Claim claim, long nowEpochMillis) {
		this.lookupClaim = claim;
		if (!this.request.canLookUp()) {
			return awaitOrUnknown(nowEpochMillis);
		}
		this.state = State.LOOKING_UP;
		this.lookupEpochMillis = nowEpochMillis;
		return List.of(new ClaimAction.LookUp(this.request.key()));
	}

	private List<ClaimAction> onCallAnswered(RecordedResponse response) {
		require(this.won && this.boundary.isOpen(), "a call that was never sent was answered");
		require(!this.released, "a call was answered after its claim was released");
		require(this.state == State.SENDING, "a call was answered twice or after it failed");
		this.state = State.FINISHED;
		List<ClaimAction> actions = new ArrayList<>();
		actions.add(append(outcome(this.request.nonce(), false, response)));
		if (!this.answered) {
			actions.add(answer(new ClaimResult.Done(response, false)));
		}
		return actions;
	}

	// The service's word that nothing was executed allows a release after the first byte.
	private List<ClaimAction> onCallRefused(int status) {
		require(this.won && this.boundary.isOpen(), "a call that was never sent was refused by the service");
		require(this.state == State.SENDING, "a call was refused after it was answered or failed");
		this.state = State.FINISHED;
		this.released = true;
		List<ClaimAction> actions = new ArrayList<>();
		actions.add(append(this.request.release()));
		if (!this.answered) {
			CodedException error = this.boundary.failure(ErrorCode.OVERLOADED,
					"the service refused the call with status " + status + "; repeat it with the same key",
					RETRY_AFTER_MILLIS);
			actions.add(answer(new ClaimResult.Refused(error)));
		}
		return actions;
	}

	private List<ClaimAction> onCallFailed(ClaimEvent.CallFailed failure, long nowEpochMillis) {
		if (this.state != State.SENDING) {
			return List.of();
		}
		if (failure.firstByteSent()) {
			require(this.boundary.isOpen(), "bytes of a call left without permission");
			return lookUpOrUnknown(this.request.claim(), nowEpochMillis);
		}
		return releaseAndAnswer(refuse(failure.code(), failure.message(), RETRY_AFTER_MILLIS));
	}

	private List<ClaimAction> onLookup(ClaimEvent event, long nowEpochMillis) {
		if (this.state != State.LOOKING_UP) {
			return List.of();
		}
		this.state = State.FINISHED;
		if (event instanceof ClaimEvent.LookupFound found) {
			return onFound(found.response());
		}
		if (event instanceof ClaimEvent.LookupNotFound && cannotRunAnyMore()) {
			return releaseLookedUp();
		}
		return awaitOrUnknown(nowEpochMillis);
	}

	// Another attempt that may still send its call is likely to record an outcome soon.
	private List<ClaimAction> awaitOrUnknown(long nowEpochMillis) {
		boolean underWay = !this.won && nowEpochMillis <= this.lookupClaim.sendByEpochMillis();
		if (!underWay || this.waited || this.answered) {
			this.state = State.FINISHED;
			return answerUnknown();
		}
		this.waited = true;
		this.state = State.AWAITING_OUTCOME;
		return List.of(new ClaimAction.AwaitOutcome(OUTCOME_WAIT_MILLIS));
	}

	private List<ClaimAction> onOutcomeWaitEnded(long nowEpochMillis) {
		if (this.state != State.AWAITING_OUTCOME) {
			return List.of();
		}
		return lookUpOrUnknown(this.lookupClaim, nowEpochMillis);
	}

	private List<ClaimAction> onRecordsWhileAwaiting(ClaimView view) {
		if (!view.complete() || view.isWonBy(this.lookupClaim.nonce()) && view.status() == ClaimStatus.CLAIMED) {
			return List.of();
		}
		if (view.status() == ClaimStatus.DONE) {
			this.state = State.FINISHED;
			return List.of(answer(new ClaimResult.Done(view.outcome().response(), true)));
		}
		return refuse(ErrorCode.OVERLOADED, "another attempt with this key gave up", RETRY_AFTER_MILLIS);
	}

	private List<ClaimAction> onFound(RecordedResponse response) {
		List<ClaimAction> actions = new ArrayList<>();
		actions.add(append(outcome(this.lookupClaim.nonce(), true, response)));
		if (!this.answered) {
			// Even after an own call the result may be that of another attempt: the call
			// may have been lost and its claim released after another look-up.
			actions.add(answer(new ClaimResult.Done(response, true)));
		}
		return actions;
	}

	// The time of the request counts, not that of its response: the call may have been
	// executed while the response was on its way.
	private boolean cannotRunAnyMore() {
		long margin = this.policy.clockMarginMillis();
		return this.request.enforcesSendBy() && this.lookupEpochMillis > this.lookupClaim.sendByEpochMillis() + margin;
	}

	private List<ClaimAction> releaseLookedUp() {
		List<ClaimAction> actions = new ArrayList<>();
		actions.add(append(new ClaimRecord.Release(this.request.key(), this.lookupClaim.nonce())));
		if (this.boundary.isOpen() || this.answered) {
			actions.addAll(answerUnknown());
			return actions;
		}
		actions.addAll(
				refuse(ErrorCode.OVERLOADED, "an earlier attempt ended without being executed", RETRY_AFTER_MILLIS));
		return actions;
	}

	private List<ClaimAction> onDeadlinePassed() {
		if (this.answered || this.state == State.FINISHED) {
			return List.of();
		}
		if (this.state == State.LOOKING_UP) {
			return answerUnknown();
		}
		if (this.state == State.AWAITING_OUTCOME) {
			this.state = State.FINISHED;
			return answerUnknown();
		}
		CodedException error = this.boundary.failure(ErrorCode.DEADLINE_EXCEEDED,
				"the deadline passed before the service responded", NO_RETRY_MILLIS);
		if (!error.isNotRun()) {
			return answerUnknown();
		}
		boolean claimed = this.state != State.NEW;
		this.state = State.FINISHED;
		List<ClaimAction> answer = List.of(answer(new ClaimResult.NotRun(error)));
		return claimed ? releaseAndAnswer(answer) : answer;
	}

	private List<ClaimAction> refuseIncomplete() {
		return refuse(ErrorCode.NOT_READY, "the claims of this key have not been read completely", RETRY_AFTER_MILLIS);
	}

	private List<ClaimAction> refuse(ErrorCode code, String message, long retryAfterMillis) {
		CodedException error = this.boundary.notRun(code, message, retryAfterMillis);
		this.state = State.FINISHED;
		return List.of(answer(new ClaimResult.NotRun(error)));
	}

	private List<ClaimAction> releaseAndAnswer(List<ClaimAction> answer) {
		require(!this.boundary.isOpen(), "claim released after the call was sent");
		this.released = true;
		List<ClaimAction> actions = new ArrayList<>(answer);
		actions.add(append(this.request.release()));
		return actions;
	}

	private List<ClaimAction> answerUnknown() {
		if (this.answered) {
			return List.of();
		}
		CodedException error = new CodedException(ErrorCode.OUTCOME_UNKNOWN,
				"the outcome is not known; look it up at " + this.request.lookupPath());
		return List.of(answer(new ClaimResult.Unknown(error, this.request.lookupPath())));
	}

	private ClaimAction answer(ClaimResult result) {
		require(!this.answered, "caller answered twice");
		this.answered = true;
		return new ClaimAction.Answer(result);
	}

	private ClaimRecord.Outcome outcome(String nonce, boolean fromLookup, RecordedResponse response) {
		return new ClaimRecord.Outcome(this.request.key(), nonce, fromLookup, response);
	}

	private static ClaimAction append(ClaimRecord item) {
		return new ClaimAction.AppendRecord(item);
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
