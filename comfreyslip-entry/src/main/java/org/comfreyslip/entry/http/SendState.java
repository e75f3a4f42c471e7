package org.comfreyslip.entry.http;

import java.util.Optional;

import io.netty.buffer.ByteBuf;
import org.comfreyslip.entry.model.Endpoint;

/**
 * One send of a request, from its start to its end, and what has arrived of its response.
 */
final class SendState {

	private final SendTarget target;

	private final long startedAtNanos;

	private final SendProgress progress;

	private final ResponseBuffer buffer;

	private boolean open = true;

	/** The connection, or null before the request is passed to it and after the end. */
	private EndpointConnection connection;

	private boolean writeStarted;

	/** Head of the response, or null before it arrives. */
	private ReceivedResponse response;

	private boolean relayingStream;

	/**
	 * Creates a send that starts.
	 * @param target its target
	 * @param limits the limits of a buffered response
	 * @param nowNanos the current steady time in ns
	 */
	SendState(SendTarget target, BufferLimits limits, long nowNanos) {
		this.target = target;
		this.startedAtNanos = nowNanos;
		this.progress = new SendProgress(nowNanos);
		this.buffer = new ResponseBuffer(limits);
	}

	SendTarget target() {
		return this.target;
	}

	long startedAtNanos() {
		return this.startedAtNanos;
	}

	SendProgress progress() {
		return this.progress;
	}

	/**
	 * Returns the body of a response that is not relayed as a stream.
	 * @return the buffer, which the end of the send clears
	 */
	ResponseBuffer buffer() {
		return this.buffer;
	}

	/**
	 * Buffers a part of the response's body. Ends the send if there is no room for it.
	 * @param content the part
	 * @param nowNanos the current steady time in ns
	 */
	void bufferContent(ByteBuf content, long nowNanos) {
		this.progress.onAnswer(nowNanos);
		if (!this.buffer.tryAppend(content)) {
			fail(SendFailureCause.ENDLESS);
		}
	}

	boolean isOpen() {
		return this.open;
	}

	boolean isToEndpoint() {
		return this.target.endpoint().isPresent();
	}

	boolean isToDaemon() {
		return this.target.daemon().isPresent();
	}

	/**
	 * Returns the endpoint of a send that is not to a daemon.
	 * @return the endpoint
	 */
	Endpoint endpoint() {
		return this.target.endpoint().get();
	}

	/**
	 * Returns the connection that carries the request.
	 * @return the connection; empty if the send has ended
	 */
	Optional<EndpointConnection> connection() {
		return Optional.ofNullable(this.connection);
	}

	void setConnection(EndpointConnection connection) {
		this.connection = connection;
	}

	/**
	 * Ends the send, which is open, because what the target sends cannot be used.
	 * @param cause the cause that is reported to the listener
	 */
	void fail(SendFailureCause cause) {
		this.connection.failBecauseOf(cause);
	}

	/** Records that the write of the request to an open connection has started. */
	void onWriteStarted() {
		this.writeStarted = true;
	}

	boolean isWriteStarted() {
		return this.writeStarted;
	}

	/**
	 * Records the head of the response.
	 * @param received the head
	 * @param streaming whether the response is relayed as a stream if it is successful
	 */
	void onHead(ReceivedResponse received, boolean streaming) {
		this.response = received;
		this.progress.onHead();
		this.relayingStream = streaming && received.isSuccess(isToDaemon());
	}

	boolean hasResponse() {
		return this.response != null;
	}

	/**
	 * Returns the head of the response.
	 * @return the head, or null before it arrives
	 */
	ReceivedResponse response() {
		return this.response;
	}

	/**
	 * Tells whether the response is relayed to the caller as a stream.
	 * @return whether it is; false before its head arrives
	 */
	boolean isRelayingStream() {
		return this.relayingStream;
	}

	/** Ends the send and releases the buffered response. */
	void end() {
		this.open = false;
		this.connection = null;
		this.buffer.clear();
	}

}
