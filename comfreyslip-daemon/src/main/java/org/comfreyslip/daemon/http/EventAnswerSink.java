package org.comfreyslip.daemon.http;

import java.nio.charset.StandardCharsets;

import io.jooby.Context;
import io.jooby.Sender;
import org.comfreyslip.clients.JsonCodec;
import org.comfreyslip.coordination.CodedException;
import org.comfreyslip.daemon.answer.AnswerSink;
import org.comfreyslip.routing.pipeline.FinishReason;
import org.comfreyslip.routing.pipeline.GeneratedToken;

/**
 * Sends an answer as server-sent events. The response starts with the first token, so
 * that a request that is refused or fails before gets a proper status.
 */
final class EventAnswerSink implements AnswerSink {

	private static final byte[] PREFIX = "data: ".getBytes(StandardCharsets.US_ASCII);

	private static final byte[] SUFFIX = "\n\n".getBytes(StandardCharsets.US_ASCII);

	private static final byte[] DONE = "[DONE]".getBytes(StandardCharsets.US_ASCII);

	private final Context context;

	private final OpenRequest request;

	private final CompletionStyle style;

	private final String model;

	private final long created;

	private Sender sender;

	private int tokens;

	EventAnswerSink(Context context, OpenRequest request, CompletionStyle style, String model, long created) {
		this.context = context;
		this.request = request;
		this.style = style;
		this.model = model;
		this.created = created;
	}

	@Override
	public void token(int index, GeneratedToken token) {
		if (this.sender == null) {
			this.context.setResponseHeader("Content-Type", "text/event-stream");
			this.context.setResponseHeader("Cache-Control", "no-cache");
			this.sender = this.context.responseSender();
		}
		this.tokens++;
		write(JsonCodec.write(chunk(token.text(), null)));
	}

	@Override
	public void finish(FinishReason reason) {
		this.request.record("answered with " + this.tokens + " tokens");
		write(JsonCodec.write(chunk(null, reason)));
		write(DONE);
		this.sender.close();
		this.request.close(OutcomeClass.ANSWERED, "answered with " + this.tokens + " tokens");
	}

	@Override
	public void fail(CodedException error) {
		if (this.sender == null) {
			Replies.error(this.context, error, this.request.id());
		}
		else {
			write(JsonCodec.write(ErrorReply.of(error, this.request.id())));
			this.sender.close();
		}
		this.request.close(OutcomeClass.of(error), "failed after " + this.tokens + " tokens: " + error.code());
	}

	private CompletionStyle.Completion chunk(String text, FinishReason reason) {
		return this.style.chunk(this.request.id(), this.created, this.model, this.style.delta(text, reason));
	}

	private void write(byte[] data) {
		byte[] event = new byte[PREFIX.length + data.length + SUFFIX.length];
		System.arraycopy(PREFIX, 0, event, 0, PREFIX.length);
		System.arraycopy(data, 0, event, PREFIX.length, data.length);
		System.arraycopy(SUFFIX, 0, event, PREFIX.length + data.length, SUFFIX.length);
		this.sender.write(event, (ctx, ex) -> {
			// A closed connection ends the answer through CallerConnection.
		});
	}

}
