package org.comfreyslip.entry.http;

import java.nio.charset.StandardCharsets;
import java.util.Locale;

import io.netty.buffer.Unpooled;
import io.netty.handler.codec.http.DefaultFullHttpResponse;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaderValues;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpVersion;

/**
 * Responses that the daemon creates itself instead of relaying one of an endpoint.
 */
final class OwnResponses {

	private OwnResponses() {
	}

	/**
	 * Creates a response with a JSON body that holds the message.
	 * @param status the status
	 * @param message what happened and what the caller can do; must need no escaping in
	 * JSON
	 * @param retryAfterMs time after which the caller may retry, in ms; negative to leave
	 * out the Retry-After field
	 * @return the response
	 */
	static DefaultFullHttpResponse create(HttpResponseStatus status, String message, long retryAfterMs) {
		byte[] body = ("{\"message\":\"" + message + "\"}").getBytes(StandardCharsets.UTF_8);
		DefaultFullHttpResponse response = new DefaultFullHttpResponse(HttpVersion.HTTP_1_1, status,
				Unpooled.wrappedBuffer(body));
		response.headers().set(HttpHeaderNames.CONTENT_TYPE, HttpHeaderValues.APPLICATION_JSON);
		if (retryAfterMs >= 0) {
			response.headers().set(HttpHeaderNames.RETRY_AFTER, String.format(Locale.ROOT, "%.3f", retryAfterMs / 1e3));
		}
		return response;
	}

}
