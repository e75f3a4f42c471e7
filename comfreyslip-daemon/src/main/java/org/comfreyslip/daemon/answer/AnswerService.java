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
 * Starts answers: tokenizes the prompt, plans a path of engines and starts an
 * {@link AnswerDriver}.
 */
public final class AnswerService {

	/**
	 * Number of tokens that a plan expects of an answer, whose length is not known in
	 * advance, unless the request allows fewer.
	 */
	private static final int EXPECTED_ANSWER_TOKENS = 300;

	private static final long TIMEOUT_PER_POSITION_NANOS = 10_000_000L;

	private static final long CACHE_TRANSFER_TIMEOUT_NANOS = 2_000_000_000L;

	private static final long MAX_REPLACEMENT_WAIT_NANOS = 10_000_000_000L;

	private static final int MAX_RECOVERIES = 16;

	private static final int MAX_PLAN_ATTEMPTS = 3;

	private static final long RETRY_AFTER_MILLIS = 1_000;

	private final AnswerContext context;

	private final Set<AnswerDriver> running = ConcurrentHashMap.newKeySet();

	/**
	 * Creates the service.
	 * @param tables selects endpoints, plans paths and records the outcomes of steps
	 * @param clients the HTTP clients of the engines
	 * @param timer schedules timeouts
	 * @param metrics counts steps, lost stages and forward passes, and times recoveries
	 * @param clock the monotonic clock, in ns
	 */
	public AnswerService(RoutingTables tables, EngineClients clients, ScheduledExecutorService timer,
			AnswerMetrics metrics, LongSupplier clock) {
		this.context = new AnswerContext(tables, new EngineCalls(clients), timer, metrics, clock);
	}

	/**
	 * Starts an answer. Returns without waiting for it; tokens and errors, including
	 * planning errors, are passed to the sink.
	 * @param request what to generate
	 * @param sink receives the tokens and the end of the answer
	 * @param entry the journal entry of the request, which takes notes
	 * @return a handle that cancels the answer when the client disconnects
	 */
	public AnswerHandle start(AnswerRequest request, AnswerSink sink, RequestEntry entry) {
		AnswerHandle handle = new AnswerHandle();
		tokenize(request, 1).whenComplete((tokens, ex) -> {
			try {
				if (ex != null) {
					throw Failures.toCodedException(ex, ErrorCode.ENDPOINT_FAILED);
				}
				AnswerDriver driver = createDriver(request, tokens, sink, entry);
				this.running.add(driver);
				handle.attachCanceller(driver::cancel);
				driver.start();
			}
			catch (CodedException failure) {
				sink.onFailure(toClientError(request, failure));
			}
		});
		return handle;
	}

	/**
	 * Ends all answers with an error because the process shuts down.
	 */
	public void abortAll() {
		List.copyOf(this.running).forEach(AnswerDriver::abort);
	}

	private static CodedException toClientError(AnswerRequest request, CodedException failure) {
		return failure.isNotRun() ? failure
				: request.boundary().failCall(failure.code(), failure.getMessage(), RETRY_AFTER_MILLIS);
	}

	private CompletableFuture<int[]> tokenize(AnswerRequest request, int attempt) {
		PlanDecision decision = this.context.tables()
			.plan(PlanRequest.of(request.model().name(), 1, EXPECTED_ANSWER_TOKENS), now());
		if (!(decision instanceof PlanDecision.Planned planned)) {
			return CompletableFuture.failedFuture(closeAsUnplannable(request, decision));
		}
		String engine = planned.plan().stages().get(0).engine();
		return this.context.engineCalls()
			.tokenize(engine, request.model().name(), request.prompt())
			.handle((tokens, ex) -> {
				if (ex == null) {
					return CompletableFuture.completedFuture(tokens);
				}
				return (attempt < MAX_PLAN_ATTEMPTS) ? tokenize(request, attempt + 1)
						: CompletableFuture.<int[]>failedFuture(Failures.unwrap(ex));
			})
			.thenCompose((future) -> future);
	}

	private AnswerDriver createDriver(AnswerRequest request, int[] tokens, AnswerSink sink, RequestEntry entry) {
		if (tokens.length == 0) {
			throw new CodedException(ErrorCode.BAD_REQUEST, "the prompt is empty");
		}
		int expectedTokens = Math.min(request.maxTokens(), EXPECTED_ANSWER_TOKENS);
		PlanRequest planRequest = PlanRequest.of(request.model().name(), tokens.length, expectedTokens);
		OccupiedEngines engines = new OccupiedEngines(this.context.tables());
		List<PipelineStage> planned = planAndOccupy(request, planRequest, engines, entry);
		List<String> engineNames = planned.stream().map(PipelineStage::engine).toList();
		long stepTimeoutNanos = this.context.tables().stepTimeoutNanos(engineNames);
		PipelineLimits limits = new PipelineLimits(request.maxTokens(), request.deadlineNanos(), stepTimeoutNanos,
				TIMEOUT_PER_POSITION_NANOS, CACHE_TRANSFER_TIMEOUT_NANOS, MAX_REPLACEMENT_WAIT_NANOS, MAX_RECOVERIES);
		List<Integer> prompt = java.util.Arrays.stream(tokens).boxed().toList();
		PipelineRun run = new PipelineRun(request.id(), request.model().layers(), planned, prompt, limits);
		long maxStepTimeoutNanos = stepTimeoutNanos
				+ TIMEOUT_PER_POSITION_NANOS * (tokens.length + request.maxTokens());
		return new AnswerDriver(request, this.context, run, planRequest, maxStepTimeoutNanos, engines, sink, entry,
				this.running::remove);
	}

	private List<PipelineStage> planAndOccupy(AnswerRequest request, PlanRequest planRequest, OccupiedEngines engines,
			RequestEntry entry) {
		for (int attempt = 0; attempt < MAX_PLAN_ATTEMPTS; attempt++) {
			PlanDecision decision = this.context.tables().plan(planRequest, now());
			if (!(decision instanceof PlanDecision.Planned planned)) {
				throw closeAsUnplannable(request, decision);
			}
			List<PipelineStage> chosen = AnswerContext.toPipelineStages(planned.plan().stages());
			if (engines.tryOccupy(chosen, now())) {
				entry.addNote("planned " + chosen + " with score " + planned.plan().scoreNanos() + " ns");
				return chosen;
			}
		}
		throw request.boundary()
			.closeAsNotRun(ErrorCode.NO_ENDPOINT, "the engines' state changed while planning", RETRY_AFTER_MILLIS);
	}

	private CodedException closeAsUnplannable(AnswerRequest request, PlanDecision decision) {
		String message = (decision instanceof PlanDecision.Uncovered gap)
				? "no engine accepts requests for layer " + gap.layer() + " of model " + gap.model()
				: "model " + request.model().name() + " is unknown";
		return request.boundary().closeAsNotRun(ErrorCode.NO_ENDPOINT, message, RETRY_AFTER_MILLIS);
	}

	private long now() {
		return this.context.clock().getAsLong();
	}

}
