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
 * State machine of one answer. It sends the steps of each token through the stages in
 * order, drops every answer that is not the one it waits for, and restores a lost stage
 * by import or recomputation of its KV cache. One worker at a time drives it.
 * <p>
 * All times are nanoseconds of one monotonic clock.
 */
public final class PipelineRun {

	/** Time between two searches for a replacement when none is available. */
	static final long REPLACEMENT_RETRY_NANOS = 100_000_000L;

	private static final byte[] NO_INPUT = {};

	private enum Phase {

		NEW, STEP, REPLACING, TRANSFER, REBUILD, DONE

	}

	private final String request;

	private final PipelineLimits limits;

	private final PipelinePath path;

	private final StepLedger ledger;

	/** The prompt and the tokens generated so far. */
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
	 * @param stages the planned stages, which have to cover all layers in order
	 * @param prompt the prompt's token ids, at least one
	 * @param limits the limits
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
	 * Starts the run with the prompt's step on the first stage.
	 * @param now the present time
	 * @return what to do; empty if the caller left before
	 */
	public List<PipelineAction> start(long now) {
		Actions actions = new Actions();
		if (this.phase == Phase.NEW) {
			sendCurrentStep(now, actions);
		}
		return actions.toList();
	}

	/**
	 * Takes an engine's answer.
	 * @param id the identity of the step that was answered
	 * @param answer the answer
	 * @param now the present time
	 * @return what to do; empty if the answer is late, doubled or foreign
	 */
	public List<PipelineAction> onStepResult(StepId id, StepResult answer, long now) {
		Actions actions = new Actions();
		if (!isExpected(id)) {
			return actions.toList();
		}
		this.expectedStepId = null;
		this.timerNanos = Long.MAX_VALUE;
		if (this.phase == Phase.REBUILD) {
			handleRebuildResult(answer, now, actions);
		}
		else {
			handleStepResult(id, answer, now, actions);
		}
		return actions.toList();
	}

	/**
	 * Takes a step's failure.
	 * @param id the identity of the step that failed
	 * @param failure how it failed
	 * @param now the present time
	 * @return what to do; empty if the run does not wait for the step
	 */
	public List<PipelineAction> onStepFailure(StepId id, StepFailure failure, long now) {
		Actions actions = new Actions();
		if (isExpected(id)) {
			handleStageFailure(this.expectedStage, failure, now, actions);
		}
		return actions.toList();
	}

	/**
	 * Takes the engines chosen for the range that {@link ChooseReplacement} named.
	 * @param stages the replacement, which covers the range; empty if there is none now
	 * @param now the present time
	 * @return what to do
	 */
	public List<PipelineAction> onReplacementChosen(List<PipelineStage> stages, long now) {
		Actions actions = new Actions();
		if (this.phase != Phase.REPLACING) {
			return actions.toList();
		}
		if (stages.isEmpty()) {
			waitForReplacement(now, actions);
		}
		else {
			replaceStage(stages, now, actions);
		}
		return actions.toList();
	}

	/**
	 * Takes the end of a KV cache transfer.
	 * @param transferAttempt the attempt that the transfer belongs to
	 * @param success whether the new engine now holds exactly the positions asked for
	 * @param now the present time
	 * @return what to do
	 */
	public List<PipelineAction> onCacheTransferEnded(int transferAttempt, boolean success, long now) {
		Actions actions = new Actions();
		if (this.phase == Phase.TRANSFER && transferAttempt == this.attempt) {
			handleTransferEnd(success, now, actions);
		}
		return actions.toList();
	}

	/**
	 * Notes that an engine is leaving. The run moves the stage before the stage's next
	 * step if another engine can take it, and stays otherwise.
	 * @param engine the engine
	 */
	public void onEngineLeaving(String engine) {
		this.path.markLeaving(engine);
	}

	/**
	 * Checks the time limits.
	 * @param now the present time
	 * @return what to do
	 */
	public List<PipelineAction> onTimer(long now) {
		Actions actions = new Actions();
		if (this.phase == Phase.DONE) {
			return actions.toList();
		}
		if (now >= this.limits.deadlineNanos()) {
			failRun(ErrorCode.DEADLINE_EXCEEDED, "the deadline passed after " + this.emittedTokenCount + " tokens",
					actions);
		}
		else if (now >= this.timerNanos) {
			handleTimeout(now, actions);
		}
		return actions.toList();
	}

	/**
	 * Ends the run because the caller left.
	 * @return what to do
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
	 * @return the time of the next limit
	 */
	public long nextTimerNanos() {
		return Math.min(this.timerNanos, this.limits.deadlineNanos());
	}

	/**
	 * Returns whether the run has ended.
	 * @return {@code true} after the last action was given out
	 */
	public boolean isDone() {
		return this.phase == Phase.DONE;
	}

	/**
	 * Returns the stages in use now.
	 * @return the stages in order
	 */
	public List<PipelineStage> stages() {
		return this.path.stages();
	}

	/**
	 * Returns how many answers were dropped because the run did not wait for them.
	 * @return the count
	 */
	public long droppedResultCount() {
		return this.droppedResultCount;
	}

	/**
	 * Returns how many rebuild steps were answered.
	 * @return the count; none of them forms part of the answer
	 */
	public long rebuildPassCount() {
		return this.rebuildPassCount;
	}

	/**
	 * Returns how many passes form the answer.
	 * @return the count over all stages
	 */
	public long acceptedPassCount() {
		return this.ledger.acceptedPassCount();
	}

	/**
	 * Returns how often a stage was lost.
	 * @return the count
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

	private void handleStepResult(StepId id, StepResult answer, long now, Actions actions) {
		this.ledger.recordAcceptedPass(id);
		this.path.setCachedPositions(this.currentStage, this.position + this.positionCount);
		reportRecovery(now, actions);
		if (!this.path.isLast(this.currentStage)) {
			this.currentStage++;
			this.stepInput = answer.output();
			sendCurrentStep(now, actions);
			return;
		}
		if (answer.token().isEmpty()) {
			failRun(ErrorCode.ENDPOINT_FAILED, "the last stage answered without a token", actions);
			return;
		}
		emitToken(answer.token().get(), now, actions);
	}

	private void emitToken(GeneratedToken token, long now, Actions actions) {
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
		sendCurrentStep(now, actions);
	}

	private void sendCurrentStep(long now, Actions actions) {
		if (this.path.isLeaving(this.currentStage) && this.position > 0) {
			moveLeavingStage(now, actions);
			return;
		}
		this.phase = Phase.STEP;
		PipelineStage stage = this.path.stage(this.currentStage);
		StepId id = new StepId(this.request, this.attempt, this.position, this.positionCount, stage.layers(),
				this.stepKind);
		sendStep(this.currentStage, id, this.stepInput, now, actions);
	}

	private void sendStep(int stage, StepId id, byte[] stepInput, long now, Actions actions) {
		this.expectedStepId = id;
		this.expectedStage = stage;
		this.timerNanos = now + this.limits.stepTimeoutNanos(id.count());
		List<Integer> stepTokens = (stage != 0) ? List.of()
				: List.copyOf(this.knownTokens.subList(id.position(), id.position() + id.count()));
		actions.add(new SendStep(this.path.stage(stage).engine(), id, stepTokens, stepInput));
	}

	private void moveLeavingStage(long now, Actions actions) {
		this.attempt++;
		this.exportingEngine = this.path.stage(this.currentStage).engine();
		startReplacement(this.currentStage, now, actions);
	}

	private void handleStageFailure(int stage, StepFailure failure, long now, Actions actions) {
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
		startReplacement(stage, now, actions);
	}

	private void startReplacement(int stage, long now, Actions actions) {
		if (!this.recovering) {
			this.recovering = true;
			this.cacheImported = false;
			this.lostAtNanos = now;
		}
		this.phase = Phase.REPLACING;
		this.expectedStepId = null;
		this.timerNanos = Long.MAX_VALUE;
		this.replacedStage = stage;
		requestReplacement(actions);
	}

	private void requestReplacement(Actions actions) {
		Set<String> avoid = new HashSet<>(this.excludedEngines);
		if (this.path.isLeaving(this.replacedStage)) {
			avoid.add(this.path.stage(this.replacedStage).engine());
		}
		actions.add(new ChooseReplacement(this.path.stage(this.replacedStage).layers(), Set.copyOf(avoid)));
	}

	private void waitForReplacement(long now, Actions actions) {
		boolean stageStillServes = this.path.isLeaving(this.replacedStage) && this.exportingEngine != null
				&& !this.excludedEngines.contains(this.exportingEngine);
		if (stageStillServes) {
			this.path.clearLeaving(this.replacedStage);
			this.exportingEngine = null;
			this.recovering = false;
			sendCurrentStep(now, actions);
			return;
		}
		if (now - this.lostAtNanos >= this.limits.replacementWaitNanos()) {
			failRun(ErrorCode.NO_ENDPOINT,
					"no engine can take over layers " + this.path.stage(this.replacedStage).layers() + " of the answer",
					actions);
			return;
		}
		// An engine that failed may be back by the next search.
		this.excludedEngines.clear();
		this.timerNanos = now + REPLACEMENT_RETRY_NANOS;
	}

	private void replaceStage(List<PipelineStage> stages, long now, Actions actions) {
		int added = this.path.replace(this.replacedStage, stages) - 1;
		if (this.replacedStage < this.currentStage) {
			this.currentStage += added;
		}
		int positions = this.path.requiredPositions(this.replacedStage, this.currentStage, this.position,
				this.positionCount);
		boolean transfer = this.exportingEngine != null && added == 0 && positions > 0;
		if (!transfer) {
			cancelExportingStream(actions);
			rebuildOrResume(now, actions);
			return;
		}
		this.phase = Phase.TRANSFER;
		this.timerNanos = now + this.limits.transferTimeoutNanos();
		actions.add(
				new TransferCache(this.exportingEngine, stages.get(0).engine(), this.request, this.attempt, positions));
	}

	private void handleTransferEnd(boolean success, long now, Actions actions) {
		this.timerNanos = Long.MAX_VALUE;
		if (success) {
			this.cacheImported = true;
			int positions = this.path.requiredPositions(this.replacedStage, this.currentStage, this.position,
					this.positionCount);
			this.path.setCachedPositions(this.replacedStage, positions);
		}
		cancelExportingStream(actions);
		rebuildOrResume(now, actions);
	}

	private void cancelExportingStream(Actions actions) {
		if (this.exportingEngine != null) {
			actions.add(new CancelStream(this.exportingEngine, this.request, this.attempt - 1));
			this.exportingEngine = null;
		}
	}

	private void rebuildOrResume(long now, Actions actions) {
		int missing = this.path.firstIncompleteStage(this.currentStage, this.position, this.positionCount);
		if (missing < 0) {
			this.rebuild = null;
			sendCurrentStep(now, actions);
			return;
		}
		int positions = this.path.requiredPositions(missing, this.currentStage, this.position, this.positionCount);
		// A rebuild can pass the same stages as the one before it. A new attempt keeps
		// the identities of its steps apart from the earlier ones.
		this.attempt++;
		this.phase = Phase.REBUILD;
		this.rebuild = new PipelineRebuild(missing, positions);
		sendRebuildStep(now, actions);
	}

	private void sendRebuildStep(long now, Actions actions) {
		int stage = this.rebuild.currentStage();
		StepId id = new StepId(this.request, this.attempt, 0, this.rebuild.positionCount(),
				this.path.stage(stage).layers(), this.rebuild.stepKind());
		sendStep(stage, id, this.rebuild.input(), now, actions);
	}

	private void handleRebuildResult(StepResult answer, long now, Actions actions) {
		this.rebuildPassCount++;
		if (this.rebuild.isAtTarget()) {
			this.path.setCachedPositions(this.rebuild.targetStage(), this.rebuild.positionCount());
			rebuildOrResume(now, actions);
			return;
		}
		this.rebuild.advanceToNextStage(answer.output());
		sendRebuildStep(now, actions);
	}

	private void reportRecovery(long now, Actions actions) {
		if (this.recovering) {
			this.recovering = false;
			this.excludedEngines.clear();
			actions.add(new ReportRecovery(this.cacheImported, now - this.lostAtNanos));
		}
	}

	private void handleTimeout(long now, Actions actions) {
		this.timerNanos = Long.MAX_VALUE;
		switch (this.phase) {
			case STEP, REBUILD -> handleStageFailure(this.expectedStage, StepFailure.TIMED_OUT, now, actions);
			case TRANSFER -> handleTransferEnd(false, now, actions);
			case REPLACING -> requestReplacement(actions);
			default -> {
				// No time limit runs in the other phases.
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
	 * Collects the actions of one event.
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
