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
 * Sends a completion as server-sent events. The response starts with the first token: a
 * request that is refused or fails before its first token gets an error status.
 */
final class EventStreamSink implements AnswerSink {

	private static final byte[] EVENT_PREFIX = "data: ".getBytes(StandardCharsets.US_ASCII);

	private static final byte[] EVENT_SUFFIX = "\n\n".getBytes(StandardCharsets.US_ASCII);

	private static final byte[] END_MARKER = "[DONE]".getBytes(StandardCharsets.US_ASCII);

	private final Context context;

	private final OpenRequest request;

	private final CompletionStyle style;

	private final String model;

	private final long createdEpochSeconds;

	private Sender sender;

	private int tokenCount;

	EventStreamSink(Context context, OpenRequest request, CompletionStyle style, String model,
			long createdEpochSeconds) {
		this.context = context;
		this.request = request;
		this.style = style;
		this.model = model;
		this.createdEpochSeconds = createdEpochSeconds;
	}

	@Override
	public void onToken(int index, GeneratedToken token) {
		if (this.sender == null) {
			this.context.setResponseHeader("Content-Type", "text/event-stream");
			this.context.setResponseHeader("Cache-Control", "no-cache");
			this.sender = this.context.responseSender();
		}
		this.tokenCount++;
		sendEvent(JsonCodec.write(chunk(token.text(), null)));
	}

	@Override
	public void onFinish(FinishReason reason) {
		this.request.recordOutcome("answered with " + this.tokenCount + " tokens");
		sendEvent(JsonCodec.write(chunk(null, reason)));
		sendEvent(END_MARKER);
		this.sender.close();
		this.request.close(OutcomeClass.ANSWERED, "answered with " + this.tokenCount + " tokens");
	}

	@Override
	public void onFailure(CodedException error) {
		if (this.sender == null) {
			Responses.sendError(this.context, error, this.request.id());
		}
		else {
			sendEvent(JsonCodec.write(ErrorReply.of(error, this.request.id())));
			this.sender.close();
		}
		this.request.close(OutcomeClass.ofError(error), "failed after " + this.tokenCount + " tokens: " + error.code());
	}

	private CompletionStyle.Completion chunk(String text, FinishReason reason) {
		return this.style.chunk(this.request.id(), this.createdEpochSeconds, this.model,
				this.style.deltaChoice(text, reason));
	}

	private void sendEvent(byte[] data) {
		byte[] event = new byte[EVENT_PREFIX.length + data.length + EVENT_SUFFIX.length];
		System.arraycopy(EVENT_PREFIX, 0, event, 0, EVENT_PREFIX.length);
		System.arraycopy(data, 0, event, EVENT_PREFIX.length, data.length);
		System.arraycopy(EVENT_SUFFIX, 0, event, EVENT_PREFIX.length + data.length, EVENT_SUFFIX.length);
		this.sender.write(event, (ctx, ex) -> {
			// A failed write needs no action: the completion is cancelled when the
			// connection closes, see CallerConnection.onClose.
		});
	}

}
