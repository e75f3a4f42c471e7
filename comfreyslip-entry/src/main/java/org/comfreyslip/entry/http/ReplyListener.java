package org.comfreyslip.entry.http;

import io.netty.buffer.ByteBuf;
import io.netty.handler.codec.http.HttpResponse;

/**
 * Takes what happens to a request at an endpoint.
 */
interface ReplyListener {

	/** The request is being written to an open connection. */
	void onSent();

	/**
	 * The response head arrived.
	 * @param head the head
	 * @param facts what its fields say
	 */
	void onHead(HttpResponse head, Wire.ReplyFacts facts);

	/**
	 * A part of the response body arrived.
	 * @param content the bytes, valid during the call
	 */
	void onContent(ByteBuf content);

	/** All bytes that were available have been handed over. */
	void onPause();

	/** The response is complete. */
	void onComplete();

	/**
	 * The request ended without a complete response. Nothing follows.
	 * @param cause what happened
	 */
	void onBroken(BreakCause cause);

}
