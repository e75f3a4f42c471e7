package org.comfreyslip.coordination.claim;

import java.util.List;
import java.util.Random;

import org.comfreyslip.coordination.CodedException;
import org.comfreyslip.coordination.ErrorCode;
import org.comfreyslip.coordination.claim.ClaimRecord.Claim;
import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatExceptionOfType;

/**
 * Guards against a second execution of a protected call, and against telling the client
 * that a call was not run although it was sent or may still be sent.
 */
class ProtectedCallTests {

	private static final long NOW = 1_800_000_000_000L;

	private static final long SEND_BY = NOW + 1000;

	private static final long MARGIN = 1000;

	private static final IdempotencyKeyPolicy POLICY = new IdempotencyKeyPolicy(60_000, 130_000, 2_000, MARGIN);

	private static final RecordedResponse RESPONSE = new RecordedResponse(201, "", "digest", "", false);

	private static final ClaimView FREE = new ClaimView(ClaimStatus.FREE, true, null, null, false, false);

	private final ClaimKey key = new ClaimKey("account", "archive", IdempotencyKeyPolicy.newKey(NOW, new Random(1)));

	private final Claim ownClaim = claim("own");

	private final ProtectedCall call = new ProtectedCall(
			new ProtectedRequest(this.key, "own", "daemon", "request", 1000, SEND_BY, "/look", true, true), POLICY);

	private Claim claim(String nonce) {
		return new Claim(this.key, nonce, "daemon", "request", SEND_BY);
	}

	private static ClaimView claimed(Claim claim) {
		return new ClaimView(ClaimStatus.CLAIMED, true, claim, null, true, false);
	}

	private List<ClaimAction> onEvent(ClaimEvent event) {
		return this.call.onEvent(event, 0, NOW);
	}

	private List<ClaimAction> winClaim() {
		onEvent(new ClaimEvent.RequestReceived(FREE));
		return onEvent(new ClaimEvent.RecordsRead(claimed(this.ownClaim)));
	}

	private List<ClaimAction> failBeforeFirstByte() {
		return onEvent(new ClaimEvent.CallFailed(false, ErrorCode.NO_ENDPOINT, "none"));
	}

	private static ClaimResult result(List<ClaimAction> actions) {
		return actions.stream()
			.filter(ClaimAction.Respond.class::isInstance)
			.map((action) -> ((ClaimAction.Respond) action).result())
			.findFirst()
			.orElseThrow();
	}

	private static void assertNotRun(List<ClaimAction> actions, ErrorCode code) {
		assertThat(result(actions)).isInstanceOfSatisfying(ClaimResult.NotRun.class,
				(notRun) -> assertThat(notRun.error().code()).isEqualTo(code));
	}

	private ClaimAction releaseOf(String nonce) {
		return new ClaimAction.AppendRecord(new ClaimRecord.Release(this.key, nonce));
	}

	private void assertViolation(Runnable task) {
		assertThatExceptionOfType(CodedException.class).isThrownBy(task::run)
			.matches((ex) -> ex.code() == ErrorCode.INVARIANT_VIOLATED);
	}

	@Test
	void aCallIsSentOnlyAfterItsOwnClaimWasReadBack() {
		assertThat(onEvent(new ClaimEvent.RequestReceived(FREE)))
			.containsExactly(new ClaimAction.AppendRecord(this.ownClaim));
		assertThat(onEvent(new ClaimEvent.ClaimAppended(7))).containsExactly(new ClaimAction.ReadStream(7));
		assertThat(onEvent(new ClaimEvent.RecordsRead(FREE))).isEmpty();
		assertViolation(() -> this.call.tryStartSending(0));
		assertThat(onEvent(new ClaimEvent.RecordsRead(claimed(this.ownClaim))))
			.containsExactly(new ClaimAction.SendCall("own", SEND_BY));
	}

	@Test
	void aReceivedResponseIsRecordedAndReturned() {
		winClaim();
		assertThat(this.call.tryStartSending(0)).isTrue();
		List<ClaimAction> actions = onEvent(new ClaimEvent.ResponseReceived(RESPONSE));
		assertThat(actions.get(0))
			.isEqualTo(new ClaimAction.AppendRecord(new ClaimRecord.Outcome(this.key, "own", false, RESPONSE)));
		assertThat(result(actions)).isEqualTo(new ClaimResult.Done(RESPONSE, false));
	}

	@Test
	void aCallIsNotSentTwiceOrAfterSendBy() {
		winClaim();
		assertThat(this.call.tryStartSending(1000)).isFalse();
		assertViolation(() -> this.call.tryStartSending(0));
	}

	@Test
	void aClaimThatIsReadBackAfterSendByIsReleased() {
		onEvent(new ClaimEvent.RequestReceived(FREE));
		List<ClaimAction> actions = this.call.onEvent(new ClaimEvent.RecordsRead(claimed(this.ownClaim)), 1000, NOW);
		assertNotRun(actions, ErrorCode.DEADLINE_EXCEEDED);
		assertThat(actions).contains(releaseOf("own"));
	}

	@Test
	void aFailureBeforeTheFirstByteReleasesTheClaimAndNoByteCanBeSentAfterwards() {
		winClaim();
		List<ClaimAction> actions = failBeforeFirstByte();
		assertNotRun(actions, ErrorCode.NO_ENDPOINT);
		assertThat(actions).contains(releaseOf("own"));
		assertThat(this.call.tryStartSending(0)).isFalse();
	}

	@Test
	void aFailureAfterTheFirstByteIsLookedUpAndReleasesNothing() {
		winClaim();
		this.call.tryStartSending(0);
		assertThat(onEvent(new ClaimEvent.CallFailed(true, ErrorCode.ENDPOINT_FAILED, "reset")))
			.containsExactly(new ClaimAction.LookUp(this.key));
		assertThat(result(onEvent(new ClaimEvent.LookupNotFound()))).isInstanceOf(ClaimResult.Unknown.class);
	}

	// The attempt's own call may have been lost, its claim released, and the result
	// produced by another attempt.
	@Test
	void aLookedUpResultIsNotTakenForTheResponseToTheAttemptsOwnCall() {
		winClaim();
		this.call.tryStartSending(0);
		onEvent(new ClaimEvent.CallFailed(true, ErrorCode.ENDPOINT_FAILED, "reset"));
		assertThat(result(onEvent(new ClaimEvent.LookupFound(RESPONSE))))
			.isEqualTo(new ClaimResult.Done(RESPONSE, true));
	}

	@Test
	void aSentCallIsNeverReportedAsNotRun() {
		winClaim();
		this.call.tryStartSending(0);
		assertViolation(this::failBeforeFirstByte);
	}

	@Test
	void aResponseToACallThatWasNeverSentIsAnInvariantViolation() {
		winClaim();
		assertViolation(() -> onEvent(new ClaimEvent.ResponseReceived(RESPONSE)));
	}

	@Test
	void aResponseAfterTheDeadlineIsStillRecorded() {
		winClaim();
		this.call.tryStartSending(0);
		assertThat(result(onEvent(new ClaimEvent.DeadlinePassed()))).isInstanceOf(ClaimResult.Unknown.class);
		assertThat(onEvent(new ClaimEvent.ResponseReceived(RESPONSE)))
			.containsExactly(new ClaimAction.AppendRecord(new ClaimRecord.Outcome(this.key, "own", false, RESPONSE)));
	}

	@Test
	void aDeadlineBeforeTheFirstByteIsNotRunAndReleasesTheClaim() {
		onEvent(new ClaimEvent.RequestReceived(FREE));
		List<ClaimAction> actions = onEvent(new ClaimEvent.DeadlinePassed());
		assertNotRun(actions, ErrorCode.DEADLINE_EXCEEDED);
		assertThat(actions).contains(releaseOf("own"));
		assertThat(onEvent(new ClaimEvent.RecordsRead(claimed(this.ownClaim)))).isEmpty();
	}

	@Test
	void anAttemptWhoseClaimIsNotInForceRecordsTheLookedUpResultUnderTheClaimInForce() {
		onEvent(new ClaimEvent.RequestReceived(FREE));
		assertThat(onEvent(new ClaimEvent.RecordsRead(claimed(claim("other")))))
			.containsExactly(new ClaimAction.LookUp(this.key));
		List<ClaimAction> actions = onEvent(new ClaimEvent.LookupFound(RESPONSE));
		assertThat(actions)
			.contains(new ClaimAction.AppendRecord(new ClaimRecord.Outcome(this.key, "other", true, RESPONSE)));
		assertThat(result(actions)).isEqualTo(new ClaimResult.Done(RESPONSE, true));
	}

	@Test
	void aLookUpThatWasSentBeforeSendByPlusMarginReleasesNothing() {
		onEvent(new ClaimEvent.RequestReceived(claimed(claim("other"))));
		List<ClaimAction> actions = this.call.onEvent(new ClaimEvent.LookupNotFound(), 0, SEND_BY + 2 * MARGIN);
		assertThat(result(actions)).isInstanceOf(ClaimResult.Unknown.class);
		assertThat(actions).hasSize(1);
	}

	// A client that repeats its request at another daemon would otherwise get an unknown
	// outcome while the outcome is being appended to the log.
	@Test
	void anOutcomeThatIsRecordedDuringTheWaitIsReturned() {
		awaitOutcomeOf("other");
		ClaimRecord.Outcome outcome = new ClaimRecord.Outcome(this.key, "other", false, RESPONSE);
		ClaimView done = new ClaimView(ClaimStatus.DONE, true, claim("other"), outcome, false, false);
		assertThat(onEvent(new ClaimEvent.RecordsRead(claimed(claim("other"))))).isEmpty();
		assertThat(result(onEvent(new ClaimEvent.RecordsRead(done)))).isEqualTo(new ClaimResult.Done(RESPONSE, true));
		assertThat(onEvent(new ClaimEvent.OutcomeWaitEnded())).isEmpty();
	}

	@Test
	void aClaimThatIsReleasedDuringTheWaitLetsTheClientRetry() {
		awaitOutcomeOf("other");
		assertNotRun(onEvent(new ClaimEvent.RecordsRead(FREE)), ErrorCode.OVERLOADED);
	}

	@Test
	void aWaitWithoutOutcomeIsFollowedByOneMoreLookUpAndThenAnUnknownOutcome() {
		awaitOutcomeOf("other");
		assertThat(onEvent(new ClaimEvent.OutcomeWaitEnded())).containsExactly(new ClaimAction.LookUp(this.key));
		assertThat(result(onEvent(new ClaimEvent.LookupNotFound()))).isInstanceOf(ClaimResult.Unknown.class);
	}

	@Test
	void aDeadlineDuringTheWaitIsAnUnknownOutcomeBecauseTheOtherCallMayHaveRun() {
		awaitOutcomeOf("other");
		assertThat(result(onEvent(new ClaimEvent.DeadlinePassed()))).isInstanceOf(ClaimResult.Unknown.class);
	}

	private void awaitOutcomeOf(String nonce) {
		onEvent(new ClaimEvent.RequestReceived(claimed(claim(nonce))));
		assertThat(onEvent(new ClaimEvent.LookupNotFound())).containsExactly(new ClaimAction.AwaitOutcome(1000));
	}

	@Test
	void aLookUpThatWasSentAfterSendByPlusMarginReleasesAnUnexecutedClaim() {
		this.call.onEvent(new ClaimEvent.RequestReceived(claimed(claim("other"))), 0, SEND_BY + MARGIN + 1);
		List<ClaimAction> actions = onEvent(new ClaimEvent.LookupNotFound());
		assertNotRun(actions, ErrorCode.OVERLOADED);
		assertThat(actions).contains(releaseOf("other"));
	}

	@Test
	void aRecordedOutcomeIsReturnedOnlyToTheSameRequest() {
		Claim different = new Claim(this.key, "other", "daemon", "different", SEND_BY);
		ClaimRecord.Outcome outcome = new ClaimRecord.Outcome(this.key, "other", false, RESPONSE);
		assertNotRun(
				onEvent(new ClaimEvent.RequestReceived(
						new ClaimView(ClaimStatus.DONE, true, different, outcome, false, false))),
				ErrorCode.KEY_REUSED);
	}

	@Test
	void aRequestIsNotRunWhileTheFoldIsIncompleteForItsKey() {
		assertNotRun(onEvent(
				new ClaimEvent.RequestReceived(new ClaimView(ClaimStatus.FREE, false, null, null, false, false))),
				ErrorCode.NOT_READY);
	}

	// Otherwise a call that an overloaded service refused could never be repeated with
	// its
	// key.
	@Test
	void aCallThatTheServiceRefusedFreesItsKeyAndIsNotReportedAsNotRun() {
		winClaim();
		this.call.tryStartSending(0);
		List<ClaimAction> actions = onEvent(new ClaimEvent.CallRefused(503));
		assertThat(actions).contains(releaseOf("own"));
		assertThat(result(actions)).isInstanceOfSatisfying(ClaimResult.Refused.class,
				(refused) -> assertThat(refused.error().isNotRun()).isFalse());
	}

	@Test
	void aRefusalOfACallThatWasNeverSentIsAnInvariantViolation() {
		winClaim();
		assertViolation(() -> onEvent(new ClaimEvent.CallRefused(503)));
	}

	@Test
	void aCallWhoseClaimTheLogRefusedIsNotRun() {
		onEvent(new ClaimEvent.RequestReceived(FREE));
		assertNotRun(onEvent(new ClaimEvent.AppendRefused()), ErrorCode.LOG_UNAVAILABLE);
	}

}
