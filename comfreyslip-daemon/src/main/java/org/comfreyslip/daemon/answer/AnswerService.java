package org.comfreyslip.daemon.answer;

import java.util.List;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ScheduledExecutorService;
import java.util.function.LongSupplier;

import org.comfreyslip.coordination.CodedException;
import org.comfreyslip.coordination.ErrorCode;
import org.comfreyslip.daemon.Failures;
import org.comfreyslip.daemon.journal.RequestEntry;
import org.comfreyslip.daemon.route.EngineClients;
import org.comfreyslip.daemon.route.RoutingTables;
import org.comfreyslip.routing.pipeline.PipelineLimits;
import org.comfreyslip.routing.pipeline.PipelineRun;
import org.comfreyslip.routing.pipeline.PipelineStage;
import org.comfreyslip.routing.plan.PlanDecision;
import org.comfreyslip.routing.plan.PlanRequest;

/**
 * Starts answers: tokenizes the prompt, plans the pipeline and hands over to an
 * {@link AnswerDriver}.
 */
public final class AnswerService {

	/** Tokens that the plan expects of an answer whose length is not known. */
	private static final int EXPECTED_TOKENS = 300;

	private static final long TIMEOUT_PER_POSITION_NANOS = 10_000_000L;

	private static final long TRANSFER_TIMEOUT_NANOS = 2_000_000_000L;

	private static final long REPLACEMENT_WAIT_NANOS = 10_000_000_000L;

	private static final int MAX_RECOVERIES = 16;

	private static final int PLAN_ATTEMPTS = 3;

	private static final long RETRY_AFTER_MILLIS = 1_000;

	private final AnswerContext context;

	private final Set<AnswerDriver> running = ConcurrentHashMap.newKeySet();

	/**
	 * Creates the service.
	 * @param tables endpoint table and planner
	 * @param clients the engine clients
	 * @param timer runs the time limits
	 * @param metrics the counters
	 * @param clock the monotonic clock, in ns
	 */
	public AnswerService(RoutingTables tables, EngineClients clients, ScheduledExecutorService timer,
			AnswerMetrics metrics, LongSupplier clock) {
		this.context = new AnswerContext(tables, new EngineCalls(clients), timer, metrics, clock);
	}

	/**
	 * Starts an answer. Everything else happens through the sink.
	 * @param request the request
	 * @param sink receives the answer
	 * @param entry the request's record
	 * @return a handle to cancel the answer when the caller leaves
	 */
	public AnswerHandle start(AnswerRequest request, AnswerSink sink, RequestEntry entry) {
		AnswerHandle handle = new AnswerHandle();
		tokenize(request, 1).whenComplete((tokens, ex) -> {
			try {
				if (ex != null) {
					throw Failures.coded(ex, ErrorCode.ENDPOINT_FAILED);
				}
				AnswerDriver driver = plan(request, tokens, sink, entry);
				this.running.add(driver);
				handle.attach(driver::callerGone);
				driver.start();
			}
			catch (CodedException failure) {
				sink.fail(refusal(request, failure));
			}
		});
		return handle;
	}

	/**
	 * Ends all answers with an error, because the process ends now.
	 */
	public void abortAll() {
		List.copyOf(this.running).forEach(AnswerDriver::abort);
	}

	private static CodedException refusal(AnswerRequest request, CodedException failure) {
		return failure.isNotRun() ? failure
				: request.boundary().failCall(failure.code(), failure.getMessage(), RETRY_AFTER_MILLIS);
	}

	private CompletableFuture<int[]> tokenize(AnswerRequest request, int attempt) {
		PlanDecision decision = this.context.tables()
			.plan(PlanRequest.of(request.model().name(), 1, EXPECTED_TOKENS), now());
		if (!(decision instanceof PlanDecision.Planned planned)) {
			return CompletableFuture.failedFuture(uncovered(request, decision));
		}
		String engine = planned.plan().stages().get(0).engine();
		return this.context.calls().tokenize(engine, request.model().name(), request.prompt()).handle((tokens, ex) -> {
			if (ex == null) {
				return CompletableFuture.completedFuture(tokens);
			}
			return (attempt < PLAN_ATTEMPTS) ? tokenize(request, attempt + 1)
					: CompletableFuture.<int[]>failedFuture(Failures.unwrap(ex));
		}).thenCompose((future) -> future);
	}

	private AnswerDriver plan(AnswerRequest request, int[] tokens, AnswerSink sink, RequestEntry entry) {
		if (tokens.length == 0) {
			throw new CodedException(ErrorCode.BAD_REQUEST, "the prompt is empty");
		}
		int expected = Math.min(request.maxTokens(), EXPECTED_TOKENS);
		PlanRequest plan = PlanRequest.of(request.model().name(), tokens.length, expected);
		AnswerStages stages = new AnswerStages(this.context.tables());
		List<PipelineStage> planned = occupyPlan(request, plan, stages, entry);
		List<String> engines = planned.stream().map(PipelineStage::engine).toList();
		long stepLimit = this.context.tables().stepTimeoutNanos(engines);
		PipelineLimits limits = new PipelineLimits(request.maxTokens(), request.deadline(), stepLimit,
				TIMEOUT_PER_POSITION_NANOS, TRANSFER_TIMEOUT_NANOS, REPLACEMENT_WAIT_NANOS, MAX_RECOVERIES);
		List<Integer> prompt = java.util.Arrays.stream(tokens).boxed().toList();
		PipelineRun run = new PipelineRun(request.id(), request.model().layers(), planned, prompt, limits);
		long callLimit = stepLimit + TIMEOUT_PER_POSITION_NANOS * (tokens.length + request.maxTokens());
		return new AnswerDriver(request, this.context, run, plan, callLimit, stages, sink, entry, this.running::remove);
	}

	private List<PipelineStage> occupyPlan(AnswerRequest request, PlanRequest plan, AnswerStages stages,
			RequestEntry entry) {
		for (int attempt = 0; attempt < PLAN_ATTEMPTS; attempt++) {
			PlanDecision decision = this.context.tables().plan(plan, now());
			if (!(decision instanceof PlanDecision.Planned planned)) {
				throw uncovered(request, decision);
			}
			List<PipelineStage> chosen = AnswerContext.stages(planned.plan().stages());
			if (stages.tryOccupy(chosen, now())) {
				entry.note("planned " + chosen + " with score " + planned.plan().scoreNanos() + " ns");
				return chosen;
			}
		}
		throw request.boundary()
			.closeAsNotRun(ErrorCode.NO_ENDPOINT, "the engines' state changed while planning", RETRY_AFTER_MILLIS);
	}

	private CodedException uncovered(AnswerRequest request, PlanDecision decision) {
		String what = (decision instanceof PlanDecision.Uncovered gap)
				? "no engine takes work for layer " + gap.layer() + " of model " + gap.model()
				: "model " + request.model().name() + " is unknown";
		return request.boundary().closeAsNotRun(ErrorCode.NO_ENDPOINT, what, RETRY_AFTER_MILLIS);
	}

	private long now() {
		return this.context.clock().getAsLong();
	}

}
