package org.comfreyslip.entry.http;

import io.netty.handler.codec.http.DefaultFullHttpResponse;
import io.netty.handler.codec.http.HttpResponseStatus;

/**
 * Refusal of a request that is not sent now.
 *
 * @param cause why it is not sent
 * @param reason the cause with its details, for the log
 * @param retryAfterMs time after which the caller may retry, in ms
 */
record Refusal(RefusalCause cause, String reason, long retryAfterMs) {

	static Refusal of(RefusalCause cause, long retryAfterMs) {
		return new Refusal(cause, cause.reason(), retryAfterMs);
	}

	/**
	 * Creates the response to the caller.
	 * @return a response that says that the request has not run
	 */
	DefaultFullHttpResponse response() {
		return OwnResponses.create(HttpResponseStatus.SERVICE_UNAVAILABLE, this.cause.message(), this.retryAfterMs);
	}

}
