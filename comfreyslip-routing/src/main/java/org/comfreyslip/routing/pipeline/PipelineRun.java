package org.comfreyslip.routing.pipeline;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;

import org.comfreyslip.coordination.ErrorCode;
import org.comfreyslip.routing.pipeline.PipelineAction.CancelStream;
import org.comfreyslip.routing.pipeline.PipelineAction.ChooseReplacement;
import org.comfreyslip.routing.pipeline.PipelineAction.EmitToken;
import org.comfreyslip.routing.pipeline.PipelineAction.Fail;
import org.comfreyslip.routing.pipeline.PipelineAction.Finish;
import org.comfreyslip.routing.pipeline.PipelineAction.ReportFailure;
import org.comfreyslip.routing.pipeline.PipelineAction.ReportRecovery;
import org.comfreyslip.routing.pipeline.PipelineAction.SendStep;
import org.comfreyslip.routing.pipeline.PipelineAction.TransferCache;

/**
 * State machine that generates one response. It sends the steps of each token through the
 * stages in order, drops every step result other than the one it waits for, and replaces
 * a lost stage by importing or recomputing its KV cache. It is not thread-safe: one
 * worker at a time drives it.
 * <p>
 * All times are in nanoseconds of one monotonic clock.
 */
public final class PipelineRun {

	/** Delay before the next search for a replacement when none is available, in ns. */
	static final long REPLACEMENT_RETRY_NANOS = 100_000_000L;

	private static final byte[] NO_INPUT = {};

	private enum Phase {

		NEW, STEP, REPLACING, TRANSFER, REBUILD, DONE

	}

	private final String request;

	private final PipelineLimits limits;

	private final PipelinePath path;

	private final StepLedger ledger;

	/** Ids of the prompt tokens and of the tokens generated so far. */
	private final List<Integer> knownTokens;

	private final Set<String> excludedEngines = new HashSet<>();

	private Phase phase = Phase.NEW;

	private int attempt = 1;

	private int position;

	private int positionCount;

	private StepKind stepKind = StepKind.PREFILL;

	private int currentStage;

	private byte[] stepInput = NO_INPUT;

	private StepId expectedStepId;

	private int expectedStage;

	private long timerNanos = Long.MAX_VALUE;

	private int emittedTokenCount;

	private int recoveryCount;

	private boolean recovering;

	private boolean cacheImported;

	private long lostAtNanos;

	private int replacedStage;

	private String exportingEngine;

	private PipelineRebuild rebuild;

	private long droppedResultCount;

	private long rebuildPassCount;

	/**
	 * Creates a run.
	 * @param request the request's id
	 * @param layers the model's number of layers
	 * @param stages the planned stages, which must cover all layers in order
	 * @param prompt the prompt's token ids, at least one
	 * @param limits the limits on tokens, time and recoveries
	 * @throws CodedException with {@link ErrorCode#INVARIANT_VIOLATED} if the stages do
	 * not cover the layers exactly
	 */
	public PipelineRun(String request, int layers, List<PipelineStage> stages, List<Integer> prompt,
			PipelineLimits limits) {
		this.request = request;
		this.limits = limits;
		this.path = new PipelinePath(layers, stages);
		this.ledger = new StepLedger(request, layers);
		this.knownTokens = new ArrayList<>(prompt);
		this.positionCount = prompt.size();
	}

	/**
	 * Starts the run by sending the prompt to the first stage.
	 * @param nowNanos the current time in ns
	 * @return the actions to perform; empty if the run was cancelled before
	 */
	public List<PipelineAction> start(long nowNanos) {
		Actions actions = new Actions();
		if (this.phase == Phase.NEW) {
			sendCurrentStep(nowNanos, actions);
		}
		return actions.toList();
	}

	/**
	 * Handles the result of a step.
	 * @param id the identity of the completed step
	 * @param result the result that the engine returned
	 * @param nowNanos the current time in ns
	 * @return the actions to perform; empty if the run does not wait for this step,
	 * because the result is late, a duplicate or of another run
	 */
	public List<PipelineAction> onStepResult(StepId id, StepResult result, long nowNanos) {
		Actions actions = new Actions();
		if (!isExpected(id)) {
			return actions.toList();
		}
		this.expectedStepId = null;
		this.timerNanos = Long.MAX_VALUE;
		if (this.phase == Phase.REBUILD) {
			handleRebuildResult(result, nowNanos, actions);
		}
		else {
			handleStepResult(id, result, nowNanos, actions);
		}
		return actions.toList();
	}

	/**
	 * Handles the failure of a step.
	 * @param id the identity of the failed step
	 * @param failure how it failed
	 * @param nowNanos the current time in ns
	 * @return the actions to perform; empty if the run does not wait for this step
	 */
	public List<PipelineAction> onStepFailure(StepId id, StepFailure failure, long nowNanos) {
		Actions actions = new Actions();
		if (isExpected(id)) {
			handleStageFailure(this.expectedStage, failure, nowNanos, actions);
		}
		return actions.toList();
	}

	/**
	 * Handles the reply to {@link ChooseReplacement}.
	 * @param stages the replacement, which covers the requested layers; empty if no
	 * engine is available now
	 * @param nowNanos the current time in ns
	 * @return the actions to perform; empty if the run does not wait for a replacement
	 */
	public List<PipelineAction> onReplacementChosen(List<PipelineStage> stages, long nowNanos) {
		Actions actions = new Actions();
		if (this.phase != Phase.REPLACING) {
			return actions.toList();
		}
		if (stages.isEmpty()) {
			waitForReplacement(nowNanos, actions);
		}
		else {
			replaceStage(stages, nowNanos, actions);
		}
		return actions.toList();
	}

	/**
	 * Handles the end of a KV cache transfer.
	 * @param transferAttempt the attempt of the {@link TransferCache} action
	 * @param success whether the importing engine now holds exactly the requested
	 * positions
	 * @param nowNanos the current time in ns
	 * @return the actions to perform; empty if the run does not wait for this transfer
	 */
	public List<PipelineAction> onCacheTransferEnded(int transferAttempt, boolean success, long nowNanos) {
		Actions actions = new Actions();
		if (this.phase == Phase.TRANSFER && transferAttempt == this.attempt) {
			handleTransferEnd(success, nowNanos, actions);
		}
		return actions.toList();
	}

	/**
	 * Records that an engine is leaving. Before the next step of its stage, the run moves
	 * the stage to another engine if one can take it; otherwise the stage stays.
	 * @param engine the engine's name
	 */
	public void onEngineLeaving(String engine) {
		this.path.markLeaving(engine);
	}

	/**
	 * Checks the deadline and the timeout of the operation in progress.
	 * @param nowNanos the current time in ns
	 * @return the actions to perform; empty if neither has passed
	 */
	public List<PipelineAction> onTimer(long nowNanos) {
		Actions actions = new Actions();
		if (this.phase == Phase.DONE) {
			return actions.toList();
		}
		if (nowNanos >= this.limits.deadlineNanos()) {
			failRun(ErrorCode.DEADLINE_EXCEEDED, "the deadline passed after " + this.emittedTokenCount + " tokens",
					actions);
		}
		else if (nowNanos >= this.timerNanos) {
			handleTimeout(nowNanos, actions);
		}
		return actions.toList();
	}

	/**
	 * Ends the run early without a response, for example because the caller disconnected.
	 * @return the actions that release the stream on all engines; empty if the run has
	 * ended already
	 */
	public List<PipelineAction> cancel() {
		Actions actions = new Actions();
		if (this.phase != Phase.DONE) {
			endRun(actions);
		}
		return actions.toList();
	}

	/**
	 * Returns when {@link #onTimer(long)} is due.
	 * @return the time in ns of the next timeout or of the deadline, whichever is earlier
	 */
	public long nextTimerNanos() {
		return Math.min(this.timerNanos, this.limits.deadlineNanos());
	}

	/**
	 * Returns whether the run has ended.
	 * @return {@code true} once the last actions were returned
	 */
	public boolean isDone() {
		return this.phase == Phase.DONE;
	}

	/**
	 * Returns the stages in use now.
	 * @return the stages in layer order
	 */
	public List<PipelineStage> stages() {
		return this.path.stages();
	}

	/**
	 * Returns how many step results and failures were dropped because the run did not
	 * wait for them.
	 * @return the count since the run was created
	 */
	public long droppedResultCount() {
		return this.droppedResultCount;
	}

	/**
	 * Returns how many forward passes recomputed a KV cache.
	 * @return the count; none of these passes is part of the response
	 */
	public long rebuildPassCount() {
		return this.rebuildPassCount;
	}

	/**
	 * Returns how many forward passes are part of the response.
	 * @return the count over all stages
	 */
	public long acceptedPassCount() {
		return this.ledger.acceptedPassCount();
	}

	/**
	 * Returns how many stage failures the run has seen.
	 * @return the count; stages that moved because their engine was leaving are not
	 * included
	 */
	public int recoveryCount() {
		return this.recoveryCount;
	}

	private boolean isExpected(StepId id) {
		if (id.equals(this.expectedStepId)) {
			return true;
		}
		this.droppedResultCount++;
		return false;
	}

	private void handleStepResult(StepId id, StepResult result, long nowNanos, Actions actions) {
		this.ledger.recordAcceptedPass(id);
		this.path.setCachedPositions(this.currentStage, this.position + this.positionCount);
		reportRecovery(nowNanos, actions);
		if (!this.path.isLast(this.currentStage)) {
			this.currentStage++;
			this.stepInput = result.output();
			sendCurrentStep(nowNanos, actions);
			return;
		}
		if (result.token().isEmpty()) {
			failRun(ErrorCode.ENDPOINT_FAILED, "the last stage returned no token", actions);
			return;
		}
		handleToken(result.token().get(), nowNanos, actions);
	}

	private void handleToken(GeneratedToken token, long nowNanos, Actions actions) {
		actions.add(new EmitToken(this.emittedTokenCount, token));
		this.emittedTokenCount++;
		this.knownTokens.add(token.id());
		this.position += this.positionCount;
		this.positionCount = 1;
		if (token.end() || this.emittedTokenCount >= this.limits.maxTokens()) {
			this.ledger.requireComplete(this.position);
			endRun(actions);
			actions.add(new Finish(token.end() ? FinishReason.STOP : FinishReason.LENGTH));
			return;
		}
		this.stepKind = StepKind.DECODE;
		this.currentStage = 0;
		this.stepInput = NO_INPUT;
		sendCurrentStep(nowNanos, actions);
	}

	private void sendCurrentStep(long nowNanos, Actions actions) {
		if (this.path.isLeaving(this.currentStage) && this.position > 0) {
			moveLeavingStage(nowNanos, actions);
			return;
		}
		this.phase = Phase.STEP;
		PipelineStage stage = this.path.stage(this.currentStage);
		StepId id = new StepId(this.request, this.attempt, this.position, this.positionCount, stage.layers(),
				this.stepKind);
		sendStep(this.currentStage, id, this.stepInput, nowNanos, actions);
	}

	private void sendStep(int stage, StepId id, byte[] input, long nowNanos, Actions actions) {
		this.expectedStepId = id;
		this.expectedStage = stage;
		this.timerNanos = nowNanos + this.limits.stepTimeoutNanos(id.count());
		List<Integer> stepTokens = (stage != 0) ? List.of()
				: List.copyOf(this.knownTokens.subList(id.position(), id.position() + id.count()));
		actions.add(new SendStep(this.path.stage(stage).engine(), id, stepTokens, input));
	}

	private void moveLeavingStage(long nowNanos, Actions actions) {
		this.attempt++;
		this.exportingEngine = this.path.stage(this.currentStage).engine();
		startReplacement(this.currentStage, nowNanos, actions);
	}

	private void handleStageFailure(int stage, StepFailure failure, long nowNanos, Actions actions) {
		String engine = this.path.stage(stage).engine();
		actions.add(new ReportFailure(engine, failure));
		this.recoveryCount++;
		if (this.recoveryCount > this.limits.maxRecoveries()) {
			failRun(ErrorCode.ENDPOINT_FAILED, "stages failed " + this.recoveryCount + " times; the last was " + engine,
					actions);
			return;
		}
		this.attempt++;
		this.exportingEngine = null;
		if (failure != StepFailure.KV_LOST) {
			this.excludedEngines.add(engine);
		}
		if (failure.isExportPossible() && this.phase == Phase.STEP && this.position > 0) {
			this.exportingEngine = engine;
		}
		else if (failure != StepFailure.UNREACHABLE) {
			actions.add(new CancelStream(engine, this.request, this.attempt - 1));
		}
		this.path.clearCachedPositions(stage);
		startReplacement(stage, nowNanos, actions);
	}

	private void startReplacement(int stage, long nowNanos, Actions actions) {
		if (!this.recovering) {
			this.recovering = true;
			this.cacheImported = false;
			this.lostAtNanos = nowNanos;
		}
		this.phase = Phase.REPLACING;
		this.expectedStepId = null;
		this.timerNanos = Long.MAX_VALUE;
		this.replacedStage = stage;
		requestReplacement(actions);
	}

	private void requestReplacement(Actions actions) {
		Set<String> excluded = new HashSet<>(this.excludedEngines);
		if (this.path.isLeaving(this.replacedStage)) {
			excluded.add(this.path.stage(this.replacedStage).engine());
		}
		actions.add(new ChooseReplacement(this.path.stage(this.replacedStage).layers(), Set.copyOf(excluded)));
	}

	private void waitForReplacement(long nowNanos, Actions actions) {
		boolean stageStillServes = this.path.isLeaving(this.replacedStage) && this.exportingEngine != null
				&& !this.excludedEngines.contains(this.exportingEngine);
		if (stageStillServes) {
			this.path.clearLeaving(this.replacedStage);
			this.exportingEngine = null;
			this.recovering = false;
			sendCurrentStep(nowNanos, actions);
			return;
		}
		if (nowNanos - this.lostAtNanos >= this.limits.replacementWaitNanos()) {
			failRun(ErrorCode.NO_ENDPOINT, "no engine can take over layers "
					+ this.path.stage(this.replacedStage).layers() + " of the response", actions);
			return;
		}
		// An engine that failed may be available again by the next search.
		this.excludedEngines.clear();
		this.timerNanos = nowNanos + REPLACEMENT_RETRY_NANOS;
	}

	private void replaceStage(List<PipelineStage> stages, long nowNanos, Actions actions) {
		int addedStageCount = this.path.replace(this.replacedStage, stages) - 1;
		if (this.replacedStage < this.currentStage) {
			this.currentStage += addedStageCount;
		}
		int positions = this.path.requiredPositions(this.replacedStage, this.currentStage, this.position,
				this.positionCount);
		boolean transfer = this.exportingEngine != null && addedStageCount == 0 && positions > 0;
		if (!transfer) {
			cancelExportingStream(actions);
			rebuildOrResume(nowNanos, actions);
			return;
		}
		this.phase = Phase.TRANSFER;
		this.timerNanos = nowNanos + this.limits.transferTimeoutNanos();
		actions.add(
				new TransferCache(this.exportingEngine, stages.get(0).engine(), this.request, this.attempt, positions));
	}

	private void handleTransferEnd(boolean success, long nowNanos, Actions actions) {
		this.timerNanos = Long.MAX_VALUE;
		if (success) {
			this.cacheImported = true;
			int positions = this.path.requiredPositions(this.replacedStage, this.currentStage, this.position,
					this.positionCount);
			this.path.setCachedPositions(this.replacedStage, positions);
		}
		cancelExportingStream(actions);
		rebuildOrResume(nowNanos, actions);
	}

	private void cancelExportingStream(Actions actions) {
		if (this.exportingEngine != null) {
			actions.add(new CancelStream(this.exportingEngine, this.request, this.attempt - 1));
			this.exportingEngine = null;
		}
	}

	private void rebuildOrResume(long nowNanos, Actions actions) {
		int missing = this.path.firstIncompleteStage(this.currentStage, this.position, this.positionCount);
		if (missing < 0) {
			this.rebuild = null;
			sendCurrentStep(nowNanos, actions);
			return;
		}
		int positions = this.path.requiredPositions(missing, this.currentStage, this.position, this.positionCount);
		// A rebuild can run through the same stages as the previous one. A new attempt
		// number keeps its step identities distinct from the earlier ones.
		this.attempt++;
		this.phase = Phase.REBUILD;
		this.rebuild = new PipelineRebuild(missing, positions);
		sendRebuildStep(nowNanos, actions);
	}

	private void sendRebuildStep(long nowNanos, Actions actions) {
		int stage = this.rebuild.currentStage();
		StepId id = new StepId(this.request, this.attempt, 0, this.rebuild.positionCount(),
				this.path.stage(stage).layers(), this.rebuild.stepKind());
		sendStep(stage, id, this.rebuild.input(), nowNanos, actions);
	}

	private void handleRebuildResult(StepResult result, long nowNanos, Actions actions) {
		this.rebuildPassCount++;
		if (this.rebuild.isAtTarget()) {
			this.path.setCachedPositions(this.rebuild.targetStage(), this.rebuild.positionCount());
			rebuildOrResume(nowNanos, actions);
			return;
		}
		this.rebuild.advanceToNextStage(result.output());
		sendRebuildStep(nowNanos, actions);
	}

	private void reportRecovery(long nowNanos, Actions actions) {
		if (this.recovering) {
			this.recovering = false;
			this.excludedEngines.clear();
			actions.add(new ReportRecovery(this.cacheImported, nowNanos - this.lostAtNanos));
		}
	}

	private void handleTimeout(long nowNanos, Actions actions) {
		this.timerNanos = Long.MAX_VALUE;
		switch (this.phase) {
			case STEP, REBUILD -> handleStageFailure(this.expectedStage, StepFailure.TIMED_OUT, nowNanos, actions);
			case TRANSFER -> handleTransferEnd(false, nowNanos, actions);
			case REPLACING -> requestReplacement(actions);
			default -> {
				// The other phases have no timeout.
			}
		}
	}

	private void failRun(ErrorCode code, String message, Actions actions) {
		endRun(actions);
		actions.add(new Fail(code, message));
	}

	private void endRun(Actions actions) {
		this.phase = Phase.DONE;
		this.expectedStepId = null;
		this.timerNanos = Long.MAX_VALUE;
		cancelExportingStream(actions);
		for (PipelineStage stage : this.path.stages()) {
			actions.add(new CancelStream(stage.engine(), this.request, this.attempt));
		}
	}

	/**
	 * Collects the actions that one event causes.
	 */
	private static final class Actions {

		private final List<PipelineAction> actions = new ArrayList<>();

		void add(PipelineAction action) {
			this.actions.add(action);
		}

		List<PipelineAction> toList() {
			return this.actions;
		}

	}

}
