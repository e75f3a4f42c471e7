package org.comfreyslip.daemon.http;

import io.jooby.Context;
import org.comfreyslip.coordination.CodedException;
import org.comfreyslip.daemon.answer.AnswerSink;
import org.comfreyslip.routing.pipeline.FinishReason;
import org.comfreyslip.routing.pipeline.GeneratedToken;

/**
 * Collects the tokens of a completion and sends it as one JSON body.
 */
final class JsonResponseSink implements AnswerSink {

	private static final int STATUS_OK = 200;

	private final Context context;

	private final OpenRequest request;

	private final CompletionStyle style;

	private final String model;

	private final long createdEpochSeconds;

	private final StringBuilder text = new StringBuilder();

	private int tokenCount;

	JsonResponseSink(Context context, OpenRequest request, CompletionStyle style, String model,
			long createdEpochSeconds) {
		this.context = context;
		this.request = request;
		this.style = style;
		this.model = model;
		this.createdEpochSeconds = createdEpochSeconds;
	}

	@Override
	public void onToken(int index, GeneratedToken token) {
		this.text.append(token.text());
		this.tokenCount++;
	}

	@Override
	public void onFinish(FinishReason reason) {
		this.request.recordOutcome("answered with " + this.tokenCount + " tokens");
		Responses.sendJson(this.context, STATUS_OK,
				this.style.completion(this.request.id(), this.createdEpochSeconds, this.model,
						this.style.wholeChoice(this.text.toString(), reason),
						new CompletionStyle.Usage(this.tokenCount)));
		this.request.close(OutcomeClass.ANSWERED, "answered with " + this.tokenCount + " tokens");
	}

	@Override
	public void onFailure(CodedException error) {
		this.request.recordOutcome("failed: " + error.code());
		Responses.sendError(this.context, error, this.request.id());
		this.request.close(OutcomeClass.ofError(error), "failed: " + error.code());
	}

}
