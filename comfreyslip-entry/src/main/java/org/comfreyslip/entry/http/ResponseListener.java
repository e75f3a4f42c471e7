package org.comfreyslip.entry.http;

import io.netty.buffer.ByteBuf;
import io.netty.handler.codec.http.HttpResponse;

/**
 * Receives the events of one send to an endpoint.
 */
interface ResponseListener {

	/**
	 * Tells whether an earlier send of the same attempt used a connection. A late copy of
	 * the response to it could not be told from the response to this one.
	 * @param connection the connection
	 * @return whether one did
	 */
	boolean hasUsed(EndpointConnection connection);

	/** The write of the request to an open connection has started. */
	void onRequestWriteStarted();

	/**
	 * The response head arrived.
	 * @param head the response head
	 * @param fields its header fields
	 */
	void onResponseHead(HttpResponse head, HeaderTranslator.ResponseFields fields);

	/**
	 * Bytes of the response body arrived.
	 * @param content the bytes; valid only during the call
	 */
	void onResponseContent(ByteBuf content);

	/** All bytes that were available have been passed to {@link #onResponseContent}. */
	void onReadComplete();

	/**
	 * The response is complete.
	 * @param bytesFollow whether bytes that belong to no response arrived behind it
	 */
	void onResponseComplete(boolean bytesFollow);

	/**
	 * The send ended without a complete response. No other event follows.
	 * @param cause why it ended
	 */
	void onSendFailed(SendFailureCause cause);

}
