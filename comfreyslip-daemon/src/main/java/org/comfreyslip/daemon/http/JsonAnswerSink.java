package org.comfreyslip.daemon.http;

import io.jooby.Context;
import org.comfreyslip.coordination.CodedException;
import org.comfreyslip.daemon.answer.AnswerSink;
import org.comfreyslip.routing.pipeline.FinishReason;
import org.comfreyslip.routing.pipeline.GeneratedToken;

/**
 * Collects an answer and sends it as one JSON body.
 */
final class JsonAnswerSink implements AnswerSink {

	private static final int OK = 200;

	private final Context context;

	private final OpenRequest request;

	private final CompletionStyle style;

	private final String model;

	private final long created;

	private final StringBuilder text = new StringBuilder();

	private int tokens;

	JsonAnswerSink(Context context, OpenRequest request, CompletionStyle style, String model, long created) {
		this.context = context;
		this.request = request;
		this.style = style;
		this.model = model;
		this.created = created;
	}

	@Override
	public void onToken(int index, GeneratedToken token) {
		this.text.append(token.text());
		this.tokens++;
	}

	@Override
	public void onFinish(FinishReason reason) {
		this.request.record("answered with " + this.tokens + " tokens");
		Replies.json(this.context, OK, this.style.completion(this.request.id(), this.created, this.model,
				this.style.whole(this.text.toString(), reason), new CompletionStyle.Usage(this.tokens)));
		this.request.close(OutcomeClass.ANSWERED, "answered with " + this.tokens + " tokens");
	}

	@Override
	public void onFailure(CodedException error) {
		this.request.record("failed: " + error.code());
		Replies.error(this.context, error, this.request.id());
		this.request.close(OutcomeClass.of(error), "failed: " + error.code());
	}

}
