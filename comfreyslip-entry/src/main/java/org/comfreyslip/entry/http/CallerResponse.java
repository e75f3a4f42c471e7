package org.comfreyslip.entry.http;

import io.netty.buffer.ByteBuf;
import io.netty.handler.codec.http.DefaultFullHttpResponse;
import io.netty.handler.codec.http.DefaultHttpHeadersFactory;
import io.netty.handler.codec.http.EmptyHttpHeaders;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpVersion;

/**
 * Writes the response of one request to its caller. If that is another daemon, the
 * response also states who it is from.
 */
final class CallerResponse {

	private final CallerConnection caller;

	private final HeaderTranslator translator;

	private final String attemptId;

	private final boolean toDaemon;

	/**
	 * Head of the endpoint's response with which a stream began, or null while none has
	 * been sent to the caller.
	 */
	private HttpResponse streamStart;

	/**
	 * Creates a response of which nothing has been written.
	 * @param caller the connection of the caller
	 * @param translator translates header fields
	 * @param attemptId identity of the caller's attempt
	 * @param toDaemon whether the caller is another daemon
	 */
	CallerResponse(CallerConnection caller, HeaderTranslator translator, String attemptId, boolean toDaemon) {
		this.caller = caller;
		this.translator = translator;
		this.attemptId = attemptId;
		this.toDaemon = toDaemon;
	}

	/**
	 * Tells whether the caller has part of the response.
	 * @return whether the head of a stream has been sent
	 */
	boolean isStreamStarted() {
		return this.streamStart != null;
	}

	/**
	 * Tells whether a successful response may be passed on as a stream.
	 * @param received the response
	 * @return whether no stream has begun, or the response may continue it
	 */
	boolean mayStream(ReceivedResponse received) {
		return !isStreamStarted() || received.mayContinue(this.streamStart);
	}

	/**
	 * Sends the head of a stream.
	 * @param head the head of the endpoint's response
	 */
	void startStream(HttpResponse head) {
		this.streamStart = head;
		this.caller.startStreamedResponse(head, relayedHeaders(head));
	}

	/**
	 * Creates the complete response that relays one of an endpoint or a daemon.
	 * @param head the head of that response
	 * @param body its body
	 * @return the response, for {@link #sendRelayed}
	 */
	DefaultFullHttpResponse relay(HttpResponse head, ByteBuf body) {
		DefaultFullHttpResponse response = new DefaultFullHttpResponse(HttpVersion.HTTP_1_1, head.status(), body,
				relayedHeaders(head), EmptyHttpHeaders.INSTANCE);
		response.headers().remove(HttpHeaderNames.TRANSFER_ENCODING);
		return response;
	}

	private HttpHeaders relayedHeaders(HttpResponse head) {
		HttpHeaders headers = DefaultHttpHeadersFactory.headersFactory()
			.withValidation(false)
			.newHeaders()
			.add(head.headers());
		this.translator.rewriteForCaller(headers);
		if (this.toDaemon) {
			new RelayReply(RelayReply.Kind.ENDPOINT, this.attemptId).writeTo(headers);
		}
		else {
			headers.remove(RelayEnvelope.FIELD);
		}
		return headers;
	}

	void sendRelayed(DefaultFullHttpResponse response) {
		this.caller.sendResponse(response);
	}

	/**
	 * Sends a response of this daemon.
	 * @param response the response
	 */
	void sendOwn(DefaultFullHttpResponse response) {
		if (this.toDaemon) {
			new RelayReply(RelayReply.Kind.DAEMON, this.attemptId).writeTo(response.headers());
		}
		this.caller.sendResponse(response);
	}

	/**
	 * Tells the daemon that passed the request on that it has not run here.
	 * @param reason why it is not taken
	 */
	void sendDeclined(String reason) {
		DefaultFullHttpResponse response = OwnResponses.create(HttpResponseStatus.SERVICE_UNAVAILABLE, reason, -1);
		new RelayReply(RelayReply.Kind.DECLINED, this.attemptId).writeTo(response.headers());
		this.caller.sendResponse(response);
	}

}
