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
 * Drives the {@link PipelineRun} of one answer: carries out its actions and feeds the
 * results back. Its lock is the request's lock, which is taken before all table locks.
 */
final class AnswerDriver {

	private static final long NANOS_PER_MILLI = 1_000_000L;

	private final AnswerRequest request;

	private final AnswerContext context;

	private final PipelineRun run;

	private final PlanRequest plan;

	private final int promptCount;

	private final long stepLimit;

	private final AnswerStages stages;

	private final AnswerSink sink;

	private final RequestEntry entry;

	private final Consumer<AnswerDriver> onEnd;

	private final Deque<PipelineAction> actions = new ArrayDeque<>();

	private boolean performing;

	private ScheduledFuture<?> timer;

	private long timerAt = Long.MAX_VALUE;

	AnswerDriver(AnswerRequest request, AnswerContext context, PipelineRun run, PlanRequest plan, long stepLimit,
			AnswerStages stages, AnswerSink sink, RequestEntry entry, Consumer<AnswerDriver> onEnd) {
		this.request = request;
		this.context = context;
		this.run = run;
		this.plan = plan;
		this.promptCount = plan.promptTokens();
		this.stepLimit = stepLimit;
		this.stages = stages;
		this.sink = sink;
		this.entry = entry;
		this.onEnd = onEnd;
	}

	synchronized void start() {
		perform(this.run.start(now()));
	}

	synchronized void callerGone() {
		if (this.run.isDone()) {
			return;
		}
		this.entry.note("the caller left");
		perform(this.run.onCallerGone());
		end();
	}

	/**
	 * Ends the answer with an error because the process ends.
	 */
	synchronized void abort() {
		if (this.run.isDone()) {
			return;
		}
		perform(this.run.onCallerGone());
		end();
		this.sink.fail(this.request.boundary().failCall(ErrorCode.DRAINING, "the daemon was stopped", 0));
	}

	private synchronized void onTimer() {
		this.timerAt = Long.MAX_VALUE;
		perform(this.run.onTimer(now()));
	}

	private synchronized void onReply(SendStep step, long sentAt, StepReply reply, Throwable ex) {
		long now = now();
		StepId id = step.id();
		if (ex != null) {
			StepFailure failure = EngineCalls.failure(Failures.unwrap(ex));
			perform(this.run.onStepFailure(id, failure, now));
			return;
		}
		if (!EngineCalls.matches(id, reply)) {
			perform(this.run.onStepFailure(id, StepFailure.REFUSED, now));
			return;
		}
		this.stages.stepAnswered(step.engine(), now, (now - sentAt) / id.count());
		if (reply.load() != null) {
			this.context.tables().onLoadReport(step.engine(), reply.load(), now);
		}
		if (this.context.tables().isLeaving(step.engine(), now)) {
			this.run.onEngineLeaving(step.engine());
		}
		perform(this.run.onStepAnswer(id, EngineCalls.answer(reply), now));
	}

	private synchronized void onTransferEnd(TransferCache transfer, Throwable ex) {
		perform(this.run.onTransfer(transfer.attempt(), ex == null, now()));
	}

	/**
	 * Carries out actions in their order. An action that feeds the run at once appends to
	 * the queue instead of recursing.
	 * @param added the actions to add
	 */
	private void perform(List<PipelineAction> added) {
		this.actions.addAll(added);
		if (this.performing) {
			return;
		}
		this.performing = true;
		try {
			while (!this.actions.isEmpty()) {
				perform(this.actions.remove());
			}
		}
		catch (CodedException ex) {
			onInvariant(ex);
		}
		finally {
			this.performing = false;
		}
		updateTimer();
	}

	private void perform(PipelineAction action) {
		if (action instanceof SendStep step) {
			send(step);
		}
		else if (action instanceof EmitToken emit) {
			this.sink.token(emit.index(), emit.token());
		}
		else if (action instanceof CancelStream cancel) {
			this.context.calls().cancel(cancel);
		}
		else if (action instanceof ChooseReplacement choose) {
			choose(choose);
		}
		else if (action instanceof TransferCache transfer) {
			this.entry.note("cache transfer from " + transfer.from() + " to " + transfer.to());
			this.context.calls().transfer(transfer).whenComplete((nothing, ex) -> onTransferEnd(transfer, ex));
		}
		else {
			report(action);
		}
	}

	private void report(PipelineAction action) {
		if (action instanceof ReportFailure failure) {
			DaemonEvent.STAGE_LOST.log(this.request.id(), failure.engine(), failure.failure());
			this.entry.note("lost " + failure.engine() + ": " + failure.failure());
			this.stages.lose(failure.engine(), failure.failure(), now());
			this.context.metrics().stageLost();
			if (failure.failure() == StepFailure.TIMED_OUT) {
				this.context.calls().onSilent(failure.engine());
			}
		}
		else if (action instanceof ReportRecovery recovery) {
			String how = recovery.cacheImported() ? "imported" : "recomputed";
			DaemonEvent.STAGE_RECOVERED.log(this.request.id(), recovery.nanos() / NANOS_PER_MILLI, how);
			this.entry.note("recovered, cache " + how);
			this.context.metrics().recovered(recovery.nanos());
		}
		else if (action instanceof Finish finish) {
			end();
			this.sink.finish(finish.reason());
		}
		else if (action instanceof Fail fail) {
			end();
			DaemonEvent.ANSWER_FAILED.log(this.request.id(), fail.message());
			this.sink.fail(this.request.boundary().failCall(fail.code(), fail.message(), -1));
		}
	}

	private void send(SendStep step) {
		if (!this.request.boundary().tryOpen()) {
			throw new CodedException(ErrorCode.INVARIANT_VIOLATED,
					"a step was due after the caller was told 'not run'");
		}
		this.context.metrics().stepSent();
		long now = now();
		try {
			this.context.calls()
				.step(this.request, step, this.promptCount, this.stepLimit * 2, now)
				.whenComplete((reply, ex) -> onReply(step, now, reply, ex));
		}
		catch (CodedException ex) {
			perform(this.run.onStepFailure(step.id(), StepFailure.UNREACHABLE, now));
		}
	}

	private void choose(ChooseReplacement choose) {
		long now = now();
		PlanDecision decision = this.context.tables()
			.planReplacement(choose.layers(), this.plan.excluding(choose.excluded()), now);
		List<PipelineStage> found = List.of();
		if (decision instanceof PlanDecision.Replaced replaced) {
			List<PipelineStage> candidates = AnswerContext.stages(replaced.cover().stages());
			found = this.stages.tryOccupy(candidates, now) ? candidates : found;
		}
		if (!found.isEmpty()) {
			this.entry.note("layers " + choose.layers() + " go to " + found);
		}
		perform(this.run.onReplacement(found, now));
		this.stages.keepOnly(this.run.stages());
	}

	private void onInvariant(CodedException ex) {
		this.context.metrics().invariantViolated();
		DaemonEvent.INVARIANT_VIOLATED.log(this.request.id(), ex.getMessage());
		this.actions.clear();
		boolean open = !this.run.isDone();
		this.run.onCallerGone().forEach((action) -> this.context.calls().cancel((CancelStream) action));
		end();
		if (open) {
			this.sink.fail(ex);
		}
	}

	private void end() {
		this.onEnd.accept(this);
		this.stages.releaseAll();
		this.context.metrics().passes(this.run.acceptedPasses(), this.run.rebuildPasses(), this.run.droppedAnswers());
		if (this.timer != null) {
			this.timer.cancel(false);
		}
	}

	private void updateTimer() {
		long due = this.run.isDone() ? Long.MAX_VALUE : this.run.nextTimer();
		// A timer that fires early finds nothing due and is set again. That is cheaper
		// than moving it for every step.
		if (due >= this.timerAt || due == Long.MAX_VALUE) {
			return;
		}
		if (this.timer != null) {
			this.timer.cancel(false);
		}
		this.timerAt = due;
		this.timer = this.context.timer().schedule(this::onTimer, Math.max(0, due - now()), TimeUnit.NANOSECONDS);
	}

	private long now() {
		return this.context.clock().getAsLong();
	}

}
