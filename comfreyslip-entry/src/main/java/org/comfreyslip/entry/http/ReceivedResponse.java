package org.comfreyslip.entry.http;

import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.util.AsciiString;

/**
 * Head of a response to a send, and what it says about the request.
 *
 * @param head the response head
 * @param fields its header fields
 */
record ReceivedResponse(HttpResponse head, HeaderTranslator.ResponseFields fields) {

	int status() {
		return this.head.status().code();
	}

	/**
	 * Tells whether another daemon replies in a certain way.
	 * @param kind the kind of reply
	 * @return whether the response carries it
	 */
	boolean isReply(RelayReply.Kind kind) {
		return RelayReply.readFrom(this.head.headers()).filter((reply) -> reply.kind() == kind).isPresent();
	}

	/**
	 * Tells whether an endpoint has run the request with success.
	 * @param ofDaemon whether another daemon relayed the response
	 * @return whether it is a genuine response with a status of success
	 */
	boolean isSuccess(boolean ofDaemon) {
		return status() / 100 == 2 && isSignedAsSent() && (!ofDaemon || isReply(RelayReply.Kind.ENDPOINT));
	}

	/**
	 * Tells whether the response may continue a stream.
	 * @param start the head of the response that began the stream
	 * @return whether it has the same status and states no other media type
	 */
	boolean mayContinue(HttpResponse start) {
		CharSequence type = HttpUtil.getMimeType(this.head);
		CharSequence startType = HttpUtil.getMimeType(start);
		return this.head.status().equals(start.status())
				&& (type == null || startType == null || AsciiString.contentEqualsIgnoreCase(type, startType));
	}

	/**
	 * Tells whether an endpoint states that it has not run the request.
	 * @return whether it refused the request
	 */
	boolean isNotExecuted() {
		return this.fields.notExecuted() || status() == HttpResponseStatus.MISDIRECTED_REQUEST.code();
	}

	/**
	 * Tells whether the response is proven to be that of an endpoint that has run the
	 * request. Statuses that say otherwise need the statement that it was not run.
	 * @return whether it is genuine
	 */
	boolean isGenuineOfEndpoint() {
		boolean claimsNotRun = status() == 408 || status() == 429 || status() == 503;
		return isSignedAsSent() && !claimsNotRun;
	}

	/**
	 * Tells whether the response is one of another daemon: its own, or one of an endpoint
	 * with the endpoint's signature.
	 * @return whether it is genuine
	 */
	boolean isGenuineOfDaemon() {
		boolean ofEndpoint = isReply(RelayReply.Kind.ENDPOINT);
		return ofEndpoint == this.fields.signed() && !this.fields.contentEncoded()
				&& (ofEndpoint || isReply(RelayReply.Kind.DAEMON));
	}

	private boolean isSignedAsSent() {
		return this.fields.signed() && !this.fields.contentEncoded();
	}

}
