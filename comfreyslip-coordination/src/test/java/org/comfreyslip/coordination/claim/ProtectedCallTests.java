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
 * Guards against a second execution and a wrong statement to the caller.
 */
class ProtectedCallTests {

	private static final long NOW = 1_800_000_000_000L;

	private static final long SEND_BY = NOW + 1000;

	private static final long MARGIN = 1000;

	private static final IdempotencyKeyPolicy POLICY = new IdempotencyKeyPolicy(60_000, 130_000, 2_000, MARGIN);

	private static final RecordedResponse RESPONSE = new RecordedResponse(201, "", "digest", "", false);

	private static final ClaimView FREE = new ClaimView(ClaimStatus.FREE, true, null, null, false, false);

	private final ClaimKey key = new ClaimKey("account", "archive", IdempotencyKeyPolicy.newKey(NOW, new Random(1)));

	private final Claim own = claim("own");

	private final ProtectedCall call = new ProtectedCall(
			new ProtectedRequest(this.key, "own", "daemon", "request", 1000, SEND_BY, "/look", true, true), POLICY);

	private Claim claim(String nonce) {
		return new Claim(this.key, nonce, "daemon", "request", SEND_BY);
	}

	private static ClaimView claimed(Claim claim) {
		return new ClaimView(ClaimStatus.CLAIMED, true, claim, null, true, false);
	}

	private List<ClaimAction> on(ClaimEvent event) {
		return this.call.on(event, 0, NOW);
	}

	private List<ClaimAction> win() {
		on(new ClaimEvent.Started(FREE));
		return on(new ClaimEvent.RecordsRead(claimed(this.own)));
	}

	private List<ClaimAction> failBeforeFirstByte() {
		return on(new ClaimEvent.CallFailed(false, ErrorCode.NO_ENDPOINT, "none"));
	}

	private static ClaimResult result(List<ClaimAction> actions) {
		return actions.stream()
			.filter(ClaimAction.Answer.class::isInstance)
			.map((action) -> ((ClaimAction.Answer) action).result())
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
		assertThat(on(new ClaimEvent.Started(FREE))).containsExactly(new ClaimAction.AppendRecord(this.own));
		assertThat(on(new ClaimEvent.ClaimAppended(7))).containsExactly(new ClaimAction.ReadStream(7));
		assertThat(on(new ClaimEvent.RecordsRead(FREE))).isEmpty();
		assertViolation(() -> this.call.tryStart(0));
		assertThat(on(new ClaimEvent.RecordsRead(claimed(this.own))))
			.containsExactly(new ClaimAction.SendCall("own", SEND_BY));
	}

	@Test
	void anAnsweredCallIsRecordedAndDone() {
		win();
		assertThat(this.call.tryStart(0)).isTrue();
		List<ClaimAction> actions = on(new ClaimEvent.CallAnswered(RESPONSE));
		assertThat(actions.get(0))
			.isEqualTo(new ClaimAction.AppendRecord(new ClaimRecord.Outcome(this.key, "own", false, RESPONSE)));
		assertThat(result(actions)).isEqualTo(new ClaimResult.Done(RESPONSE, false));
	}

	@Test
	void aCallIsNotSentTwiceOrAfterSendBy() {
		win();
		assertThat(this.call.tryStart(1000)).isFalse();
		assertViolation(() -> this.call.tryStart(0));
	}

	@Test
	void aClaimThatIsReadBackAfterSendByIsReleased() {
		on(new ClaimEvent.Started(FREE));
		List<ClaimAction> actions = this.call.on(new ClaimEvent.RecordsRead(claimed(this.own)), 1000, NOW);
		assertNotRun(actions, ErrorCode.DEADLINE_EXCEEDED);
		assertThat(actions).contains(releaseOf("own"));
	}

	@Test
	void aFailureBeforeTheFirstByteReleasesTheClaimAndNoByteCanLeaveAfterwards() {
		win();
		List<ClaimAction> actions = failBeforeFirstByte();
		assertNotRun(actions, ErrorCode.NO_ENDPOINT);
		assertThat(actions).contains(releaseOf("own"));
		assertThat(this.call.tryStart(0)).isFalse();
	}

	@Test
	void aFailureAfterTheFirstByteIsLookedUpAndReleasesNothing() {
		win();
		this.call.tryStart(0);
		assertThat(on(new ClaimEvent.CallFailed(true, ErrorCode.ENDPOINT_FAILED, "reset")))
			.containsExactly(new ClaimAction.LookUp(this.key));
		assertThat(result(on(new ClaimEvent.LookupNotFound()))).isInstanceOf(ClaimResult.Unknown.class);
	}

	// The own call may have been lost, its claim released, and the key executed by
	// another attempt.
	@Test
	void aLookedUpResultIsNotTakenForTheResponseToTheOwnCall() {
		win();
		this.call.tryStart(0);
		on(new ClaimEvent.CallFailed(true, ErrorCode.ENDPOINT_FAILED, "reset"));
		assertThat(result(on(new ClaimEvent.LookupFound(RESPONSE)))).isEqualTo(new ClaimResult.Done(RESPONSE, true));
	}

	@Test
	void aStartedCallIsNeverReportedAsNotRun() {
		win();
		this.call.tryStart(0);
		assertViolation(this::failBeforeFirstByte);
	}

	@Test
	void anAnswerToACallThatWasNeverSentIsAnInvariantViolation() {
		win();
		assertViolation(() -> on(new ClaimEvent.CallAnswered(RESPONSE)));
	}

	@Test
	void anAnswerAfterTheDeadlineIsStillRecorded() {
		win();
		this.call.tryStart(0);
		assertThat(result(on(new ClaimEvent.DeadlinePassed()))).isInstanceOf(ClaimResult.Unknown.class);
		assertThat(on(new ClaimEvent.CallAnswered(RESPONSE)))
			.containsExactly(new ClaimAction.AppendRecord(new ClaimRecord.Outcome(this.key, "own", false, RESPONSE)));
	}

	@Test
	void aDeadlineBeforeTheFirstByteIsNotRunAndReleasesTheClaim() {
		on(new ClaimEvent.Started(FREE));
		List<ClaimAction> actions = on(new ClaimEvent.DeadlinePassed());
		assertNotRun(actions, ErrorCode.DEADLINE_EXCEEDED);
		assertThat(actions).contains(releaseOf("own"));
		assertThat(on(new ClaimEvent.RecordsRead(claimed(this.own)))).isEmpty();
	}

	@Test
	void aLosingClaimLooksTheKeyUpAndRecordsTheResultUnderTheWinner() {
		on(new ClaimEvent.Started(FREE));
		assertThat(on(new ClaimEvent.RecordsRead(claimed(claim("other")))))
			.containsExactly(new ClaimAction.LookUp(this.key));
		List<ClaimAction> actions = on(new ClaimEvent.LookupFound(RESPONSE));
		assertThat(actions)
			.contains(new ClaimAction.AppendRecord(new ClaimRecord.Outcome(this.key, "other", true, RESPONSE)));
		assertThat(result(actions)).isEqualTo(new ClaimResult.Done(RESPONSE, true));
	}

	@Test
	void aLookUpThatWasSentBeforeSendByPlusMarginReleasesNothing() {
		on(new ClaimEvent.Started(claimed(claim("other"))));
		List<ClaimAction> actions = this.call.on(new ClaimEvent.LookupNotFound(), 0, SEND_BY + 2 * MARGIN);
		assertThat(result(actions)).isInstanceOf(ClaimResult.Unknown.class);
		assertThat(actions).hasSize(1);
	}

	// A caller that repeats its request at another daemon would otherwise be told
	// "unknown" while the outcome is on its way to the log.
	@Test
	void anOutcomeThatIsRecordedMeanwhileIsReturned() {
		awaitOutcomeOf("other");
		ClaimRecord.Outcome outcome = new ClaimRecord.Outcome(this.key, "other", false, RESPONSE);
		ClaimView done = new ClaimView(ClaimStatus.DONE, true, claim("other"), outcome, false, false);
		assertThat(on(new ClaimEvent.RecordsRead(claimed(claim("other"))))).isEmpty();
		assertThat(result(on(new ClaimEvent.RecordsRead(done)))).isEqualTo(new ClaimResult.Done(RESPONSE, true));
		assertThat(on(new ClaimEvent.OutcomeWaitEnded())).isEmpty();
	}

	@Test
	void anAttemptThatGaveUpMeanwhileLetsTheCallerTryAgain() {
		awaitOutcomeOf("other");
		assertNotRun(on(new ClaimEvent.RecordsRead(FREE)), ErrorCode.OVERLOADED);
	}

	@Test
	void aWaitWithoutOutcomeIsFollowedByOneMoreLookUpAndThenUnknown() {
		awaitOutcomeOf("other");
		assertThat(on(new ClaimEvent.OutcomeWaitEnded())).containsExactly(new ClaimAction.LookUp(this.key));
		assertThat(result(on(new ClaimEvent.LookupNotFound()))).isInstanceOf(ClaimResult.Unknown.class);
	}

	@Test
	void aDeadlineDuringTheWaitIsUnknownBecauseTheOtherAttemptMayHaveRun() {
		awaitOutcomeOf("other");
		assertThat(result(on(new ClaimEvent.DeadlinePassed()))).isInstanceOf(ClaimResult.Unknown.class);
	}

	private void awaitOutcomeOf(String nonce) {
		on(new ClaimEvent.Started(claimed(claim(nonce))));
		assertThat(on(new ClaimEvent.LookupNotFound())).containsExactly(new ClaimAction.AwaitOutcome(1000));
	}

	@Test
	void aLookUpThatWasSentAfterSendByPlusMarginReleasesAnUnexecutedClaim() {
		this.call.on(new ClaimEvent.Started(claimed(claim("other"))), 0, SEND_BY + MARGIN + 1);
		List<ClaimAction> actions = on(new ClaimEvent.LookupNotFound());
		assertNotRun(actions, ErrorCode.OVERLOADED);
		assertThat(actions).contains(releaseOf("other"));
	}

	@Test
	void aRecordedOutcomeIsReturnedOnlyToTheSameRequest() {
		Claim different = new Claim(this.key, "other", "daemon", "different", SEND_BY);
		ClaimRecord.Outcome outcome = new ClaimRecord.Outcome(this.key, "other", false, RESPONSE);
		assertNotRun(
				on(new ClaimEvent.Started(new ClaimView(ClaimStatus.DONE, true, different, outcome, false, false))),
				ErrorCode.KEY_REUSED);
	}

	@Test
	void anIncompleteFoldAnswersNothing() {
		assertNotRun(on(new ClaimEvent.Started(new ClaimView(ClaimStatus.FREE, false, null, null, false, false))),
				ErrorCode.NOT_READY);
	}

	// Otherwise a stamp that an overloaded service refused could never be recorded under
	// its key.
	@Test
	void aCallThatTheServiceRefusedFreesItsKeyAndMakesNoStatementOfNotRun() {
		win();
		this.call.tryStart(0);
		List<ClaimAction> actions = on(new ClaimEvent.CallRefused(503));
		assertThat(actions).contains(releaseOf("own"));
		assertThat(result(actions)).isInstanceOfSatisfying(ClaimResult.Refused.class,
				(refused) -> assertThat(refused.error().isNotRun()).isFalse());
	}

	@Test
	void aRefusalOfACallThatWasNeverSentIsAnInvariantViolation() {
		win();
		assertViolation(() -> on(new ClaimEvent.CallRefused(503)));
	}

	@Test
	void aRefusedClaimIsNotRun() {
		on(new ClaimEvent.Started(FREE));
		assertNotRun(on(new ClaimEvent.AppendRefused()), ErrorCode.LOG_UNAVAILABLE);
	}

}
