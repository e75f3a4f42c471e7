package org.comfreyslip.entry.http;

import java.io.IOException;
import java.nio.channels.ClosedChannelException;
import java.util.concurrent.TimeUnit;

import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.HttpContent;
import io.netty.handler.codec.http.HttpObject;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpStatusClass;
import io.netty.handler.codec.http.LastHttpContent;
import io.netty.util.ReferenceCountUtil;

/**
 * One connection to an endpoint, which carries one request at a time. A connection on
 * which bytes arrived that belong to no request is not reused.
 */
final class EndpointConnection extends ChannelInboundHandlerAdapter {

	/**
	 * Time for which an idle connection is kept if the endpoint does not state one, in
	 * ns.
	 */
	private static final long DEFAULT_IDLE_TIMEOUT_NANOS = TimeUnit.SECONDS.toNanos(4);

	/**
	 * Share of the endpoint's stated idle timeout for which a connection is kept, so that
	 * the endpoint does not close it while a request is in transit.
	 */
	private static final double IDLE_TIMEOUT_SHARE = 0.6;

	/**
	 * Most heads before the response to a request: informational ones, and those of late
	 * responses to earlier requests.
	 */
	private static final int MAX_SKIPPED_HEADS = 8;

	/** Most bytes of late responses to earlier requests that are skipped. */
	private static final long MAX_SKIPPED_BYTES = 1 << 20;

	private final EndpointPool pool;

	private final ConnectionTarget target;

	private final ResponseDecoder decoder = new ResponseDecoder(this);

	private Channel channel;

	/** Steady time in ns at which the connection was opened. */
	private long openedAtNanos;

	/** Listener of the current send, or null if the connection carries none. */
	private ResponseListener listener;

	private String attemptId = "";

	/** Whether the write of the request has ended. */
	private boolean requestWritten;

	/**
	 * Whether the write of the request failed, other than by the end of the connection.
	 */
	private boolean writeFailed;

	private boolean headReceived;

	private boolean responseComplete;

	/** Whether bytes arrived behind the complete response. */
	private boolean bytesFollow;

	/** Whether the response being received belongs to no current request. */
	private boolean skippingResponse;

	/** Heads skipped since the request was assigned. */
	private int skippedHeads;

	/** Bytes of bodies skipped since the request was assigned. */
	private long skippedBytes;

	/** Whether no response has been completed on this connection yet. */
	private boolean awaitingFirstResponse = true;

	private boolean reusable = true;

	/** Time in ns for which the connection is usable while it is idle. */
	private long idleTimeoutNanos = DEFAULT_IDLE_TIMEOUT_NANOS;

	/** Steady time in ns at which the last response was complete. */
	private long idleSinceNanos;

	EndpointConnection(EndpointPool pool, ConnectionTarget target) {
		this.pool = pool;
		this.target = target;
	}

	@Override
	public void handlerAdded(ChannelHandlerContext ctx) {
		this.channel = ctx.channel();
	}

	@Override
	public void channelActive(ChannelHandlerContext ctx) {
		this.openedAtNanos = System.nanoTime();
	}

	// Assigns a request, which is written once the connection is open.
	void assignRequest(ResponseListener newListener, String newAttemptId) {
		this.listener = newListener;
		this.attemptId = newAttemptId;
		this.requestWritten = false;
		this.writeFailed = false;
		this.headReceived = false;
		this.responseComplete = false;
		this.skippedHeads = 0;
		this.skippedBytes = 0;
	}

	ResponseDecoder decoder() {
		return this.decoder;
	}

	void writeRequest(FullHttpRequest request) {
		this.decoder.expectResponseTo(request.method());
		this.listener.onRequestWriteStarted();
		ChannelFuture future = this.channel.writeAndFlush(request);
		future.addListener((done) -> onWriteEnded(done.cause()));
	}

	// The cause is null if the whole request was written.
	private void onWriteEnded(Throwable cause) {
		this.requestWritten = true;
		this.writeFailed = cause != null && !(cause instanceof ClosedChannelException);
	}

	boolean isAssigned() {
		return this.listener != null;
	}

	// Tells whether bytes that arrive may belong to a response.
	boolean awaitsResponse() {
		return this.listener != null && !this.responseComplete;
	}

	/**
	 * Records bytes that belong to no response that is due. What follows them cannot be
	 * told from them, so the connection is not used again.
	 * @param kind where on the connection they arrived
	 * @param count number of bytes known so far
	 */
	void onStrayBytes(StrayBytes kind, int count) {
		this.reusable = false;
		if (this.listener == null) {
			close();
		}
		this.pool.observer().onStrayBytes(this.target, kind, count, this.attemptId);
	}

	void onConnectFailed(ConnectFailure failure) {
		this.pool.observer().onConnectFailed(this.target, failure);
		failSend(SendFailureCause.NOT_CONNECTED);
	}

	/** Aborts the send. The listener, which requested it, receives no further event. */
	void abort() {
		this.listener = null;
		close();
	}

	void setReading(boolean reading) {
		if (this.channel != null) {
			this.channel.config().setAutoRead(reading);
		}
	}

	@Override
	public void channelRead(ChannelHandlerContext ctx, Object message) {
		try {
			onMessage((HttpObject) message);
		}
		finally {
			ReferenceCountUtil.release(message);
		}
	}

	private void onMessage(HttpObject message) {
		if (!awaitsResponse()) {
			this.reusable = false;
			close();
			return;
		}
		if (message.decoderResult().isFailure()) {
			failSend(SendFailureCause.GARBLED);
			return;
		}
		if (message instanceof HttpResponse head) {
			if (StatusLines.hasForeignStatusLine(head)) {
				failSend(SendFailureCause.GARBLED);
				return;
			}
			onHead(head);
		}
		if (message instanceof HttpContent content && this.listener != null) {
			onContent(content);
		}
	}

	private void onHead(HttpResponse head) {
		if (head.status().codeClass() == HttpStatusClass.INFORMATIONAL) {
			skipResponse();
			return;
		}
		HeaderTranslator.ResponseFields fields = this.pool.readResponse(head);
		boolean matchesRequest = fields.attemptId()
			.map(this.attemptId::equals)
			.orElse(this.awaitingFirstResponse && !fields.signed());
		if (!matchesRequest) {
			// A late response to an earlier request; the expected one may still follow.
			onStrayBytes(StrayBytes.BEFORE_RESPONSE, 0);
			skipResponse();
			return;
		}
		this.headReceived = true;
		this.pool.observer().onAnswer(this.target, this.openedAtNanos);
		this.reusable &= fields.reusable();
		if (fields.keepAliveMs() >= 0) {
			this.idleTimeoutNanos = (long) (TimeUnit.MILLISECONDS.toNanos(fields.keepAliveMs()) * IDLE_TIMEOUT_SHARE);
		}
		this.listener.onResponseHead(head, fields);
	}

	private void skipResponse() {
		this.skippingResponse = true;
		this.skippedHeads++;
		if (this.skippedHeads > MAX_SKIPPED_HEADS) {
			failSend(SendFailureCause.ENDLESS);
		}
	}

	private void onContent(HttpContent content) {
		boolean last = content instanceof LastHttpContent;
		if (this.skippingResponse) {
			this.skippingResponse = !last;
			this.skippedBytes += content.content().readableBytes();
			if (this.skippedBytes > MAX_SKIPPED_BYTES) {
				failSend(SendFailureCause.ENDLESS);
			}
			return;
		}
		if (!this.headReceived) {
			failSend(SendFailureCause.GARBLED);
			return;
		}
		if (content.content().isReadable()) {
			this.listener.onResponseContent(content.content());
		}
		if (last && this.writeFailed) {
			// The write took the socket's error, so that a reset looks like the end of
			// a response without a length.
			failSend(SendFailureCause.WRITE_FAILED);
		}
		else if (last && this.listener != null) {
			this.responseComplete = true;
			this.awaitingFirstResponse = false;
			int strayBytes = this.decoder.undecodedBytes();
			this.bytesFollow = strayBytes > 0;
			if (this.bytesFollow) {
				onStrayBytes(StrayBytes.AFTER_RESPONSE, strayBytes);
			}
		}
	}

	@Override
	public void channelReadComplete(ChannelHandlerContext ctx) {
		if (this.listener != null) {
			this.listener.onReadComplete();
		}
		finishCompletedResponse();
	}

	private void finishCompletedResponse() {
		if (!this.responseComplete || this.listener == null) {
			return;
		}
		ResponseListener completed = this.listener;
		this.listener = null;
		this.responseComplete = false;
		this.idleSinceNanos = System.nanoTime();
		if (this.reusable && this.requestWritten && this.channel.isActive()) {
			setReading(true);
			this.pool.release(this.target.poolKey(), this);
		}
		else {
			close();
		}
		completed.onResponseComplete(this.bytesFollow);
	}

	@Override
	public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
		failSend((cause instanceof IOException) ? SendFailureCause.CLOSED : SendFailureCause.GARBLED);
	}

	/**
	 * Ends the send because the listener cannot use what the endpoint sends.
	 * @param cause the cause that is reported to the listener
	 */
	void failBecauseOf(SendFailureCause cause) {
		failSend(cause);
	}

	@Override
	public void channelInactive(ChannelHandlerContext ctx) {
		finishCompletedResponse();
		failSend((this.writeFailed) ? SendFailureCause.WRITE_FAILED : SendFailureCause.CLOSED);
	}

	private void failSend(SendFailureCause cause) {
		ResponseListener failed = this.listener;
		this.listener = null;
		close();
		if (failed != null && cause.isConnectionLost() && this.awaitingFirstResponse && !this.headReceived) {
			this.pool.observer().onClosedUnanswered(this.target);
		}
		if (failed != null) {
			failed.onSendFailed(cause);
		}
	}

	private void close() {
		this.pool.remove(this.target.poolKey(), this);
		if (this.channel != null) {
			this.channel.close();
		}
	}

	// Tells whether the last request was of an attempt. A late copy of its response could
	// not be told from the response to another send of that attempt.
	boolean hasCarried(String otherAttemptId) {
		return this.attemptId.equals(otherAttemptId);
	}

	boolean isUsable(long nowNanos) {
		return this.channel.isActive() && nowNanos - this.idleSinceNanos < this.idleTimeoutNanos;
	}

	boolean hasBeenIdleFor(long durationNanos, long nowNanos) {
		return nowNanos - this.idleSinceNanos >= durationNanos;
	}

	void closeIdle() {
		close();
	}

}
