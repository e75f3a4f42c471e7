package org.comfreyslip.daemon.http;

import java.util.List;
import java.util.Map;

import io.jooby.Context;
import org.comfreyslip.coordination.CallBoundary;
import org.comfreyslip.coordination.CodedException;
import org.comfreyslip.coordination.ErrorCode;
import org.comfreyslip.daemon.answer.AnswerHandle;
import org.comfreyslip.daemon.answer.AnswerRequest;
import org.comfreyslip.daemon.answer.AnswerService;
import org.comfreyslip.daemon.answer.AnswerSink;
import org.comfreyslip.routing.topology.ModelSpec;
import org.comfreyslip.settings.DependencyNode;

/**
 * The routes for completions and for the list of models.
 */
final class ModelRoutes {

	private static final long MILLIS_PER_SECOND = 1_000;

	private static final int STATUS_OK = 200;

	private final RequestGate gate;

	private final AnswerService answers;

	ModelRoutes(RequestGate gate, AnswerService answers) {
		this.gate = gate;
		this.answers = answers;
	}

	Context complete(Context context, CompletionStyle style) {
		CallBoundary boundary = new CallBoundary();
		try {
			RequestGate.Caller caller = this.gate.authenticate(context, boundary);
			CompletionRequest parsed = parseRequest(context, style, boundary);
			ModelSpec model = caller.config()
				.topology()
				.findModel(parsed.model())
				.orElseThrow(() -> boundary.closeAsNotRun(ErrorCode.UNKNOWN_MODEL,
						"model '" + parsed.model() + "' is not configured", -1));
			OpenRequest request = this.gate.admit(context, caller, DependencyNode.model(model.name()),
					"model " + model.name(), boundary);
			startCompletion(context, style, parsed, model, request);
		}
		catch (CodedException ex) {
			this.gate.refuse(context, ex);
		}
		return context;
	}

	Context listModels(Context context) {
		try {
			RequestGate.Caller caller = this.gate.authenticate(context, new CallBoundary());
			List<Map<String, String>> models = caller.config()
				.topology()
				.models()
				.stream()
				.map((model) -> Map.of("id", model.name(), "object", "model"))
				.toList();
			Responses.sendJson(context, STATUS_OK, new CompletionStyle.ModelList("list", models));
		}
		catch (CodedException ex) {
			this.gate.refuse(context, ex);
		}
		return context;
	}

	private static CompletionRequest parseRequest(Context context, CompletionStyle style, CallBoundary boundary) {
		byte[] body = RequestBody.bytes(context, boundary);
		try {
			return style.parseRequest(body);
		}
		catch (CodedException ex) {
			throw boundary.closeAsNotRun(ex.code(), ex.getMessage(), -1);
		}
	}

	private void startCompletion(Context context, CompletionStyle style, CompletionRequest parsed, ModelSpec model,
			OpenRequest request) {
		long createdEpochSeconds = System.currentTimeMillis() / MILLIS_PER_SECOND;
		AnswerSink sink = parsed.stream()
				? new EventStreamSink(context, request, style, model.name(), createdEpochSeconds)
				: new JsonResponseSink(context, request, style, model.name(), createdEpochSeconds);
		AnswerRequest answer = new AnswerRequest(request.id(), request.account(), model, parsed.prompt(),
				parsed.maxTokens(), request.deadlineNanos(), request.boundary());
		AnswerHandle handle = this.answers.start(answer, this.gate.withTokenTiming(sink), request.entry());
		CallerConnection.onClose(context, () -> {
			if (!request.closed().get()) {
				handle.cancel();
				request.close(OutcomeClass.CALLER_LEFT, "the caller left");
			}
		});
	}

}
