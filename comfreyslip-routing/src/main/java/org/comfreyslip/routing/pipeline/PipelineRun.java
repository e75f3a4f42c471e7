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

	private final PipelineRoute route;

	private final StepLedger ledger;

	/** The prompt and the tokens generated so far. */
	private final List<Integer> tokens;

	private final Set<String> excluded = new HashSet<>();

	private Phase phase = Phase.NEW;

	private int attempt = 1;

	private int position;

	private int count;

	private StepKind kind = StepKind.PREFILL;

	private int current;

	private byte[] input = NO_INPUT;

	private StepId expected;

	private int expectedStage;

	private long timer = Long.MAX_VALUE;

	private int emitted;

	private int recoveries;

	private boolean recovering;

	private boolean imported;

	private long lostAt;

	private int replacing;

	private String exporter;

	private PipelineRebuild rebuild;

	private long droppedAnswers;

	private long rebuildPasses;

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
		this.route = new PipelineRoute(layers, stages);
		this.ledger = new StepLedger(request, layers);
		this.tokens = new ArrayList<>(prompt);
		this.count = prompt.size();
	}

	/**
	 * Starts the run with the prompt's step on the first stage.
	 * @param now the present time
	 * @return what to do; empty if the caller left before
	 */
	public List<PipelineAction> start(long now) {
		Actions actions = new Actions();
		if (this.phase == Phase.NEW) {
			sendCurrent(now, actions);
		}
		return actions.list();
	}

	/**
	 * Takes an engine's answer.
	 * @param id the identity of the step that was answered
	 * @param answer the answer
	 * @param now the present time
	 * @return what to do; empty if the answer is late, doubled or foreign
	 */
	public List<PipelineAction> onStepAnswer(StepId id, StepAnswer answer, long now) {
		Actions actions = new Actions();
		if (!isExpected(id)) {
			return actions.list();
		}
		this.expected = null;
		this.timer = Long.MAX_VALUE;
		if (this.phase == Phase.REBUILD) {
			acceptRebuild(answer, now, actions);
		}
		else {
			acceptStep(id, answer, now, actions);
		}
		return actions.list();
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
			loseStage(this.expectedStage, failure, now, actions);
		}
		return actions.list();
	}

	/**
	 * Takes the engines chosen for the range that {@link ChooseReplacement} named.
	 * @param stages the replacement, which covers the range; empty if there is none now
	 * @param now the present time
	 * @return what to do
	 */
	public List<PipelineAction> onReplacement(List<PipelineStage> stages, long now) {
		Actions actions = new Actions();
		if (this.phase != Phase.REPLACING) {
			return actions.list();
		}
		if (stages.isEmpty()) {
			waitForReplacement(now, actions);
		}
		else {
			replaceStage(stages, now, actions);
		}
		return actions.list();
	}

	/**
	 * Takes the end of a KV cache transfer.
	 * @param transferAttempt the attempt that the transfer belongs to
	 * @param success whether the new engine now holds exactly the positions asked for
	 * @param now the present time
	 * @return what to do
	 */
	public List<PipelineAction> onTransfer(int transferAttempt, boolean success, long now) {
		Actions actions = new Actions();
		if (this.phase == Phase.TRANSFER && transferAttempt == this.attempt) {
			endTransfer(success, now, actions);
		}
		return actions.list();
	}

	/**
	 * Notes that an engine is leaving. The run moves the stage before the stage's next
	 * step if another engine can take it, and stays otherwise.
	 * @param engine the engine
	 */
	public void onEngineLeaving(String engine) {
		this.route.markLeaving(engine);
	}

	/**
	 * Checks the time limits.
	 * @param now the present time
	 * @return what to do
	 */
	public List<PipelineAction> onTimer(long now) {
		Actions actions = new Actions();
		if (this.phase == Phase.DONE) {
			return actions.list();
		}
		if (now >= this.limits.deadline()) {
			fail(ErrorCode.DEADLINE_EXCEEDED, "the deadline passed after " + this.emitted + " tokens", actions);
		}
		else if (now >= this.timer) {
			timeOut(now, actions);
		}
		return actions.list();
	}

	/**
	 * Ends the run because the caller left.
	 * @return what to do
	 */
	public List<PipelineAction> onCallerGone() {
		Actions actions = new Actions();
		if (this.phase != Phase.DONE) {
			end(actions);
		}
		return actions.list();
	}

	/**
	 * Returns when {@link #onTimer(long)} is due.
	 * @return the time of the next limit
	 */
	public long nextTimer() {
		return Math.min(this.timer, this.limits.deadline());
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
		return this.route.stages();
	}

	/**
	 * Returns how many answers were dropped because the run did not wait for them.
	 * @return the count
	 */
	public long droppedAnswers() {
		return this.droppedAnswers;
	}

	/**
	 * Returns how many rebuild steps were answered.
	 * @return the count; none of them forms part of the answer
	 */
	public long rebuildPasses() {
		return this.rebuildPasses;
	}

	/**
	 * Returns how many passes form the answer.
	 * @return the count over all stages
	 */
	public long acceptedPasses() {
		return this.ledger.acceptedPasses();
	}

	/**
	 * Returns how often a stage was lost.
	 * @return the count
	 */
	public int recoveries() {
		return this.recoveries;
	}

	private boolean isExpected(StepId id) {
		if (id.equals(this.expected)) {
			return true;
		}
		this.droppedAnswers++;
		return false;
	}

	private void acceptStep(StepId id, StepAnswer answer, long now, Actions actions) {
		this.ledger.accept(id);
		this.route.setCached(this.current, this.position + this.count);
		reportRecovery(now, actions);
		if (!this.route.isLast(this.current)) {
			this.current++;
			this.input = answer.output();
			sendCurrent(now, actions);
			return;
		}
		if (answer.token().isEmpty()) {
			fail(ErrorCode.ENDPOINT_FAILED, "the last stage answered without a token", actions);
			return;
		}
		acceptToken(answer.token().get(), now, actions);
	}

	private void acceptToken(GeneratedToken token, long now, Actions actions) {
		actions.add(new EmitToken(this.emitted, token));
		this.emitted++;
		this.tokens.add(token.id());
		this.position += this.count;
		this.count = 1;
		if (token.end() || this.emitted >= this.limits.maxTokens()) {
			this.ledger.requireComplete(this.position);
			end(actions);
			actions.add(new Finish(token.end() ? FinishReason.STOP : FinishReason.LENGTH));
			return;
		}
		this.kind = StepKind.DECODE;
		this.current = 0;
		this.input = NO_INPUT;
		sendCurrent(now, actions);
	}

	private void sendCurrent(long now, Actions actions) {
		if (this.route.isLeaving(this.current) && this.position > 0) {
			moveStage(now, actions);
			return;
		}
		this.phase = Phase.STEP;
		PipelineStage stage = this.route.stage(this.current);
		StepId id = new StepId(this.request, this.attempt, this.position, this.count, stage.layers(), this.kind);
		send(this.current, id, this.input, now, actions);
	}

	private void send(int stage, StepId id, byte[] stepInput, long now, Actions actions) {
		this.expected = id;
		this.expectedStage = stage;
		this.timer = now + this.limits.timeoutOf(id.count());
		List<Integer> stepTokens = (stage != 0) ? List.of()
				: List.copyOf(this.tokens.subList(id.position(), id.position() + id.count()));
		actions.add(new SendStep(this.route.stage(stage).engine(), id, stepTokens, stepInput));
	}

	private void moveStage(long now, Actions actions) {
		this.attempt++;
		this.exporter = this.route.stage(this.current).engine();
		startReplacing(this.current, now, actions);
	}

	private void loseStage(int stage, StepFailure failure, long now, Actions actions) {
		String engine = this.route.stage(stage).engine();
		actions.add(new ReportFailure(engine, failure));
		this.recoveries++;
		if (this.recoveries > this.limits.maxRecoveries()) {
			fail(ErrorCode.ENDPOINT_FAILED, "stages failed " + this.recoveries + " times; the last was " + engine,
					actions);
			return;
		}
		this.attempt++;
		this.exporter = null;
		if (failure != StepFailure.KV_LOST) {
			this.excluded.add(engine);
		}
		if (failure.isExportPossible() && this.phase == Phase.STEP && this.position > 0) {
			this.exporter = engine;
		}
		else if (failure != StepFailure.UNREACHABLE) {
			actions.add(new CancelStream(engine, this.request, this.attempt - 1));
		}
		this.route.loseCache(stage);
		startReplacing(stage, now, actions);
	}

	private void startReplacing(int stage, long now, Actions actions) {
		if (!this.recovering) {
			this.recovering = true;
			this.imported = false;
			this.lostAt = now;
		}
		this.phase = Phase.REPLACING;
		this.expected = null;
		this.timer = Long.MAX_VALUE;
		this.replacing = stage;
		chooseReplacement(actions);
	}

	private void chooseReplacement(Actions actions) {
		Set<String> avoid = new HashSet<>(this.excluded);
		if (this.route.isLeaving(this.replacing)) {
			avoid.add(this.route.stage(this.replacing).engine());
		}
		actions.add(new ChooseReplacement(this.route.stage(this.replacing).layers(), Set.copyOf(avoid)));
	}

	private void waitForReplacement(long now, Actions actions) {
		boolean stageStillServes = this.route.isLeaving(this.replacing) && this.exporter != null
				&& !this.excluded.contains(this.exporter);
		if (stageStillServes) {
			this.route.stay(this.replacing);
			this.exporter = null;
			this.recovering = false;
			sendCurrent(now, actions);
			return;
		}
		if (now - this.lostAt >= this.limits.replacementWait()) {
			fail(ErrorCode.NO_ENDPOINT,
					"no engine can take over layers " + this.route.stage(this.replacing).layers() + " of the answer",
					actions);
			return;
		}
		// An engine that failed may be back by the next search.
		this.excluded.clear();
		this.timer = now + REPLACEMENT_RETRY_NANOS;
	}

	private void replaceStage(List<PipelineStage> stages, long now, Actions actions) {
		int added = this.route.replace(this.replacing, stages) - 1;
		if (this.replacing < this.current) {
			this.current += added;
		}
		int positions = this.route.needed(this.replacing, this.current, this.position, this.count);
		boolean transfer = this.exporter != null && added == 0 && positions > 0;
		if (!transfer) {
			cancelExporter(actions);
			recover(now, actions);
			return;
		}
		this.phase = Phase.TRANSFER;
		this.timer = now + this.limits.transferTimeout();
		actions.add(new TransferCache(this.exporter, stages.get(0).engine(), this.request, this.attempt, positions));
	}

	private void endTransfer(boolean success, long now, Actions actions) {
		this.timer = Long.MAX_VALUE;
		if (success) {
			this.imported = true;
			int positions = this.route.needed(this.replacing, this.current, this.position, this.count);
			this.route.setCached(this.replacing, positions);
		}
		cancelExporter(actions);
		recover(now, actions);
	}

	private void cancelExporter(Actions actions) {
		if (this.exporter != null) {
			actions.add(new CancelStream(this.exporter, this.request, this.attempt - 1));
			this.exporter = null;
		}
	}

	private void recover(long now, Actions actions) {
		int missing = this.route.firstMissing(this.current, this.position, this.count);
		if (missing < 0) {
			this.rebuild = null;
			sendCurrent(now, actions);
			return;
		}
		int positions = this.route.needed(missing, this.current, this.position, this.count);
		// A rebuild can pass the same stages as the one before it. A new attempt keeps
		// the identities of its steps apart from the earlier ones.
		this.attempt++;
		this.phase = Phase.REBUILD;
		this.rebuild = new PipelineRebuild(missing, positions);
		sendRebuild(now, actions);
	}

	private void sendRebuild(long now, Actions actions) {
		int stage = this.rebuild.index();
		StepId id = new StepId(this.request, this.attempt, 0, this.rebuild.count(), this.route.stage(stage).layers(),
				this.rebuild.kind());
		send(stage, id, this.rebuild.input(), now, actions);
	}

	private void acceptRebuild(StepAnswer answer, long now, Actions actions) {
		this.rebuildPasses++;
		if (this.rebuild.isAtTarget()) {
			this.route.setCached(this.rebuild.target(), this.rebuild.count());
			recover(now, actions);
			return;
		}
		this.rebuild.advance(answer.output());
		sendRebuild(now, actions);
	}

	private void reportRecovery(long now, Actions actions) {
		if (this.recovering) {
			this.recovering = false;
			this.excluded.clear();
			actions.add(new ReportRecovery(this.imported, now - this.lostAt));
		}
	}

	private void timeOut(long now, Actions actions) {
		this.timer = Long.MAX_VALUE;
		switch (this.phase) {
			case STEP, REBUILD -> loseStage(this.expectedStage, StepFailure.TIMED_OUT, now, actions);
			case TRANSFER -> endTransfer(false, now, actions);
			case REPLACING -> chooseReplacement(actions);
			default -> {
				// No time limit runs in the other phases.
			}
		}
	}

	private void fail(ErrorCode code, String message, Actions actions) {
		end(actions);
		actions.add(new Fail(code, message));
	}

	private void end(Actions actions) {
		this.phase = Phase.DONE;
		this.expected = null;
		this.timer = Long.MAX_VALUE;
		cancelExporter(actions);
		for (PipelineStage stage : this.route.stages()) {
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

		List<PipelineAction> list() {
			return this.actions;
		}

	}

}
