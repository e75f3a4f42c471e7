package org.comfreyslip.daemon.answer;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.List;
import java.util.concurrent.ScheduledFuture;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;

import org.comfreyslip.clients.engine.StepReply;
import org.comfreyslip.coordination.CodedException;
import org.comfreyslip.coordination.ErrorCode;
import org.comfreyslip.daemon.DaemonEvent;
import org.comfreyslip.daemon.Failures;
import org.comfreyslip.daemon.journal.RequestEntry;
import org.comfreyslip.routing.pipeline.PipelineAction;
import org.comfreyslip.routing.pipeline.PipelineAction.CancelStream;
import org.comfreyslip.routing.pipeline.PipelineAction.ChooseReplacement;
import org.comfreyslip.routing.pipeline.PipelineAction.EmitToken;
import org.comfreyslip.routing.pipeline.PipelineAction.Fail;
import org.comfreyslip.routing.pipeline.PipelineAction.Finish;
import org.comfreyslip.routing.pipeline.PipelineAction.ReportFailure;
import org.comfreyslip.routing.pipeline.PipelineAction.ReportRecovery;
import org.comfreyslip.routing.pipeline.PipelineAction.SendStep;
import org.comfreyslip.routing.pipeline.PipelineAction.TransferCache;
import org.comfreyslip.routing.pipeline.PipelineRun;
import org.comfreyslip.routing.pipeline.PipelineStage;
import org.comfreyslip.routing.pipeline.StepFailure;
import org.comfreyslip.routing.pipeline.StepId;
import org.comfreyslip.routing.plan.PlanDecision;
import org.comfreyslip.routing.plan.PlanRequest;

/**
 * Drives the {@link PipelineRun} of one answer: performs the actions that this state
 * machine returns and passes their results back to it. The lock of this object guards all
 * state of the answer. Lock order: it is taken before all table locks.
 */
final class AnswerDriver {

	private static final long NANOS_PER_MILLI = 1_000_000L;

	private final AnswerRequest request;

	private final AnswerContext context;

	private final PipelineRun run;

	private final PlanRequest planRequest;

	private final int promptCount;

	private final long maxStepTimeoutNanos;

	private final OccupiedEngines engines;

	private final AnswerSink sink;

	private final RequestEntry entry;

	private final Consumer<AnswerDriver> onEnd;

	private final Deque<PipelineAction> actions = new ArrayDeque<>();

	private boolean performingActions;

	private ScheduledFuture<?> timer;

	private long timerDueNanos = Long.MAX_VALUE;

	AnswerDriver(AnswerRequest request, AnswerContext context, PipelineRun run, PlanRequest planRequest,
			long maxStepTimeoutNanos, OccupiedEngines engines, AnswerSink sink, RequestEntry entry,
			Consumer<AnswerDriver> onEnd) {
		this.request = request;
		this.context = context;
		this.run = run;
		this.planRequest = planRequest;
		this.promptCount = planRequest.promptTokens();
		this.maxStepTimeoutNanos = maxStepTimeoutNanos;
		this.engines = engines;
		this.sink = sink;
		this.entry = entry;
		this.onEnd = onEnd;
	}

	synchronized void start() {
		performAll(this.run.start(now()));
	}

	synchronized void cancel() {
		if (this.run.isDone()) {
			return;
		}
		this.entry.addNote("the caller left");
		performAll(this.run.cancel());
		release();
	}

	/**
	 * Ends the answer with an error because the process shuts down.
	 */
	synchronized void abort() {
		if (this.run.isDone()) {
			return;
		}
		performAll(this.run.cancel());
		release();
		this.sink.onFailure(this.request.boundary().failCall(ErrorCode.DRAINING, "the daemon was stopped", 0));
	}

	private synchronized void onTimer() {
		this.timerDueNanos = Long.MAX_VALUE;
		performAll(this.run.onTimer(now()));
	}

	private synchronized void onReply(SendStep step, long sentAtNanos, StepReply reply, Throwable ex) {
		long now = now();
		StepId id = step.id();
		if (ex != null) {
			StepFailure failure = EngineCalls.toStepFailure(Failures.unwrap(ex));
			performAll(this.run.onStepFailure(id, failure, now));
			return;
		}
		if (!EngineCalls.isReplyTo(id, reply)) {
			performAll(this.run.onStepFailure(id, StepFailure.REFUSED, now));
			return;
		}
		this.engines.recordStepSuccess(step.engine(), now, (now - sentAtNanos) / id.count());
		if (reply.load() != null) {
			this.context.tables().onLoadReport(step.engine(), reply.load(), now);
		}
		if (this.context.tables().isLeaving(step.engine(), now)) {
			this.run.onEngineLeaving(step.engine());
		}
		performAll(this.run.onStepResult(id, EngineCalls.toStepAnswer(reply), now));
	}

	private synchronized void onTransferEnd(TransferCache transfer, Throwable ex) {
		performAll(this.run.onCacheTransferEnded(transfer.attempt(), ex == null, now()));
	}

	/**
	 * Performs actions in order. If an action yields further actions at once, they are
	 * added to the queue instead of being performed recursively.
	 * @param added the actions to add to the queue
	 */
	private void performAll(List<PipelineAction> added) {
		this.actions.addAll(added);
		if (this.performingActions) {
			return;
		}
		this.performingActions = true;
		try {
			while (!this.actions.isEmpty()) {
				performAction(this.actions.remove());
			}
		}
		catch (CodedException ex) {
			onInvariantViolated(ex);
		}
		finally {
			this.performingActions = false;
		}
		updateTimer();
	}

	private void performAction(PipelineAction action) {
		if (action instanceof SendStep step) {
			send(step);
		}
		else if (action instanceof EmitToken emit) {
			this.sink.onToken(emit.index(), emit.token());
		}
		else if (action instanceof CancelStream cancel) {
			this.context.engineCalls().cancel(cancel);
		}
		else if (action instanceof ChooseReplacement choose) {
			chooseReplacement(choose);
		}
		else if (action instanceof TransferCache transfer) {
			this.entry.addNote("cache transfer from " + transfer.from() + " to " + transfer.to());
			this.context.engineCalls()
				.transferCache(transfer)
				.whenComplete((nothing, ex) -> onTransferEnd(transfer, ex));
		}
		else {
			handleReport(action);
		}
	}

	private void handleReport(PipelineAction action) {
		if (action instanceof ReportFailure failure) {
			DaemonEvent.STAGE_LOST.log(this.request.id(), failure.engine(), failure.failure());
			this.entry.addNote("lost " + failure.engine() + ": " + failure.failure());
			this.engines.recordFailure(failure.engine(), failure.failure(), now());
			this.context.metrics().recordStageLost();
			if (failure.failure() == StepFailure.TIMED_OUT) {
				this.context.engineCalls().evictIdleConnections(failure.engine());
			}
		}
		else if (action instanceof ReportRecovery recovery) {
			String cacheSource = recovery.cacheImported() ? "imported" : "recomputed";
			DaemonEvent.STAGE_RECOVERED.log(this.request.id(), recovery.elapsedNanos() / NANOS_PER_MILLI, cacheSource);
			this.entry.addNote("recovered, cache " + cacheSource);
			this.context.metrics().recordRecovery(recovery.elapsedNanos());
		}
		else if (action instanceof Finish finish) {
			release();
			this.sink.onFinish(finish.reason());
		}
		else if (action instanceof Fail fail) {
			release();
			DaemonEvent.ANSWER_FAILED.log(this.request.id(), fail.message());
			this.sink.onFailure(this.request.boundary().failCall(fail.code(), fail.message(), -1));
		}
	}

	private void send(SendStep step) {
		if (!this.request.boundary().tryOpen()) {
			throw new CodedException(ErrorCode.INVARIANT_VIOLATED,
					"a step was to be sent after the request was reported as not run");
		}
		this.context.metrics().recordStepSent();
		long now = now();
		try {
			this.context.engineCalls()
				.sendStep(this.request, step, this.promptCount, this.maxStepTimeoutNanos * 2, now)
				.whenComplete((reply, ex) -> onReply(step, now, reply, ex));
		}
		catch (CodedException ex) {
			performAll(this.run.onStepFailure(step.id(), StepFailure.UNREACHABLE, now));
		}
	}

	private void chooseReplacement(ChooseReplacement choose) {
		long now = now();
		PlanDecision decision = this.context.tables()
			.planReplacement(choose.layers(), this.planRequest.withExcludedEngines(choose.excluded()), now);
		List<PipelineStage> found = List.of();
		if (decision instanceof PlanDecision.Replaced replaced) {
			List<PipelineStage> candidates = AnswerContext.toPipelineStages(replaced.cover().stages());
			found = this.engines.tryOccupy(candidates, now) ? candidates : found;
		}
		if (!found.isEmpty()) {
			this.entry.addNote("layers " + choose.layers() + " go to " + found);
		}
		performAll(this.run.onReplacementChosen(found, now));
		this.engines.releaseUnused(this.run.stages());
	}

	private void onInvariantViolated(CodedException ex) {
		this.context.metrics().recordInvariantViolation();
		DaemonEvent.INVARIANT_VIOLATED.log(this.request.id(), ex.getMessage());
		this.actions.clear();
		boolean wasOpen = !this.run.isDone();
		this.run.cancel().forEach((action) -> this.context.engineCalls().cancel((CancelStream) action));
		release();
		if (wasOpen) {
			this.sink.onFailure(ex);
		}
	}

	private void release() {
		this.onEnd.accept(this);
		this.engines.releaseAll();
		this.context.metrics()
			.recordPasses(this.run.acceptedPassCount(), this.run.rebuildPassCount(), this.run.droppedResultCount());
		if (this.timer != null) {
			this.timer.cancel(false);
		}
	}

	private void updateTimer() {
		long due = this.run.isDone() ? Long.MAX_VALUE : this.run.nextTimerNanos();
		// A timer that fires early finds nothing due and is scheduled again, which is
		// cheaper than rescheduling it for every step.
		if (due >= this.timerDueNanos || due == Long.MAX_VALUE) {
			return;
		}
		if (this.timer != null) {
			this.timer.cancel(false);
		}
		this.timerDueNanos = due;
		this.timer = this.context.timer().schedule(this::onTimer, Math.max(0, due - now()), TimeUnit.NANOSECONDS);
	}

	private long now() {
		return this.context.clock().getAsLong();
	}

}
