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
 * The completion interface.
 */
final class ModelRoutes {

	private static final long MILLIS_PER_SECOND = 1_000;

	private static final int OK = 200;

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
			ChatRequest parsed = parse(context, style, boundary);
			ModelSpec model = caller.config()
				.topology()
				.findModel(parsed.model())
				.orElseThrow(() -> boundary.closeAsNotRun(ErrorCode.UNKNOWN_MODEL,
						"model '" + parsed.model() + "' is not configured", -1));
			OpenRequest request = this.gate.admit(context, caller, DependencyNode.model(model.name()),
					"model " + model.name(), boundary);
			start(context, style, parsed, model, request);
		}
		catch (CodedException ex) {
			this.gate.refuse(context, ex);
		}
		return context;
	}

	Context models(Context context) {
		try {
			RequestGate.Caller caller = this.gate.authenticate(context, new CallBoundary());
			List<Map<String, String>> models = caller.config()
				.topology()
				.models()
				.stream()
				.map((model) -> Map.of("id", model.name(), "object", "model"))
				.toList();
			Replies.json(context, OK, new CompletionStyle.ModelList("list", models));
		}
		catch (CodedException ex) {
			this.gate.refuse(context, ex);
		}
		return context;
	}

	private static ChatRequest parse(Context context, CompletionStyle style, CallBoundary boundary) {
		byte[] body = RequestBody.bytes(context, boundary);
		try {
			return style.parse(body);
		}
		catch (CodedException ex) {
			throw boundary.closeAsNotRun(ex.code(), ex.getMessage(), -1);
		}
	}

	private void start(Context context, CompletionStyle style, ChatRequest parsed, ModelSpec model,
			OpenRequest request) {
		long created = System.currentTimeMillis() / MILLIS_PER_SECOND;
		AnswerSink sink = parsed.stream() ? new EventAnswerSink(context, request, style, model.name(), created)
				: new JsonAnswerSink(context, request, style, model.name(), created);
		AnswerRequest answer = new AnswerRequest(request.id(), request.account(), model, parsed.prompt(),
				parsed.maxTokens(), request.deadline(), request.boundary());
		AnswerHandle handle = this.answers.start(answer, this.gate.timed(sink), request.entry());
		CallerConnection.onClose(context, () -> {
			if (!request.closed().get()) {
				handle.cancel();
				request.close(OutcomeClass.CALLER_LEFT, "the caller left");
			}
		});
	}

}
