package org.comfreyslip.entry.http;

import java.util.Optional;

import io.netty.buffer.ByteBuf;
import io.netty.handler.codec.http.DefaultFullHttpRequest;
import io.netty.handler.codec.http.DefaultHttpHeadersFactory;
import io.netty.handler.codec.http.EmptyHttpHeaders;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpVersion;
import org.comfreyslip.entry.model.ClientAccount;

/**
 * What is sent of a request to an endpoint or to another daemon.
 *
 * @param original the request as the caller sent it
 * @param attemptId identity of the caller's attempt
 * @param admitted the admitted request
 * @param remainingMs time until the deadline, in ms; at least 1
 * @param resumeAfter identity of the last event that the caller has; empty at the start
 * of a stream
 * @param envelope what another daemon is told of the request
 */
record OutgoingRequest(CallerConnection.IncomingRequest original, String attemptId,
		RequestAdmission.AdmittedRequest admitted, long remainingMs, Optional<Long> resumeAfter,
		RelayEnvelope envelope) {

	/**
	 * Creates the request to an endpoint.
	 * @param translator translates the header fields
	 * @param target the endpoint and the path, if there is one
	 * @return the request, which holds a reference to the body
	 */
	DefaultFullHttpRequest forEndpoint(HeaderTranslator translator, SendTarget target) {
		HttpHeaders headers = copyHeaders();
		translator.rewriteForEndpoint(headers,
				new HeaderTranslator.ForwardedRequest(target.endpoint().get(),
						this.admitted.account().map(ClientAccount::name), this.remainingMs, target.path(),
						this.resumeAfter, this.admitted.priority()));
		return create(headers);
	}

	/**
	 * Creates the request to another daemon, which decides about it as about one of its
	 * own callers.
	 * @param translator translates the header fields
	 * @return the request, which holds a reference to the body
	 */
	DefaultFullHttpRequest forDaemon(HeaderTranslator translator) {
		HttpHeaders headers = copyHeaders();
		translator.rewriteForDaemon(headers, this.remainingMs, this.resumeAfter);
		headers.set(RelayEnvelope.FIELD, this.envelope.encode());
		return create(headers);
	}

	/**
	 * Tells whether the request may run only once.
	 * @return whether a run with an unknown outcome must not be followed by another one
	 */
	boolean runsOnce() {
		return !this.admitted.route().mayRunAgain();
	}

	private HttpHeaders copyHeaders() {
		return DefaultHttpHeadersFactory.headersFactory()
			.withValidation(false)
			.newHeaders()
			.add(this.original.head().headers());
	}

	private DefaultFullHttpRequest create(HttpHeaders headers) {
		ByteBuf body = this.original.body().retainedDuplicate();
		if (body.isReadable() || headers.contains(HttpHeaderNames.CONTENT_LENGTH)
				|| this.original.head().headers().contains(HttpHeaderNames.TRANSFER_ENCODING)) {
			headers.set(HttpHeaderNames.CONTENT_LENGTH, body.readableBytes());
		}
		return new DefaultFullHttpRequest(HttpVersion.HTTP_1_1, this.original.head().method(),
				this.original.head().uri(), body, headers, EmptyHttpHeaders.INSTANCE);
	}

}
