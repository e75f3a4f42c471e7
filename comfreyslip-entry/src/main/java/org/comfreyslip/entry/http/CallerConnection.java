package org.comfreyslip.entry.http;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.Optional;
import java.util.concurrent.TimeUnit;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.ChannelOption;
import io.netty.channel.socket.DuplexChannel;
import io.netty.handler.codec.http.DefaultFullHttpResponse;
import io.netty.handler.codec.http.DefaultHttpContent;
import io.netty.handler.codec.http.DefaultHttpResponse;
import io.netty.handler.codec.http.HttpContent;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaderValues;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpObject;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.handler.codec.http.LastHttpContent;
import io.netty.handler.codec.http.TooLongHttpHeaderException;
import io.netty.handler.codec.http.TooLongHttpLineException;
import io.netty.util.ReferenceCountUtil;
import org.comfreyslip.entry.model.RequestLimits;

/**
 * One connection of a caller: receives complete requests, passes them on one after the
 * other, writes their responses, and enforces the limits on size and time.
 */
final class CallerConnection extends ChannelInboundHandlerAdapter {

	/**
	 * Number of requests waiting behind the current one at which reading from the
	 * connection stops.
	 */
	private static final int MAX_PIPELINED = 8;

	/**
	 * Time that the caller has to read the last response before the connection is closed,
	 * in ms.
	 */
	private static final long LINGER_MS = 200;

	/**
	 * Time after a caller has connected for which a stopping daemon waits for its first
	 * request, in ms: the time in which callers expect it to be read.
	 */
	static final long FIRST_REQUEST_WAIT_MS = 1_000;

	private final Router router;

	private final boolean ofDaemon;

	private final Deque<IncomingRequest> queuedRequests = new ArrayDeque<>();

	private Channel channel;

	/** The request whose body is being received, or null. */
	private IncomingRequest receivingRequest;

	/** The request that is being served, or null. */
	private Exchange exchange;

	/** Whether further input is ignored. */
	private boolean closing;

	private boolean closeAfterResponse;

	/** Whether the current request has the method HEAD. */
	private boolean respondsToHead;

	/** Whether the HTTP version of the current request allows chunked responses. */
	private boolean supportsChunked;

	private long lastReadNanos;

	/** Whether bytes have arrived that may begin a head, and no complete head since. */
	private boolean headIncomplete;

	/**
	 * Steady time in ns from which the incomplete head counts: its first bytes, or the
	 * end of the response before it.
	 */
	private long headStartedNanos;

	/** Number of requests that have arrived on this connection. */
	private int requestCount;

	/**
	 * Creates a connection.
	 * @param router serves the requests
	 * @param ofDaemon whether it is the connection of another daemon, which passes
	 * requests of its callers on
	 */
	CallerConnection(Router router, boolean ofDaemon) {
		this.router = router;
		this.ofDaemon = ofDaemon;
	}

	@Override
	public void channelActive(ChannelHandlerContext ctx) {
		this.channel = ctx.channel();
		this.lastReadNanos = System.nanoTime();
		this.channel.config().setAutoRead(this.router.isAcceptingRequests());
		this.router.callers().add(this);
	}

	/** Starts reading what the caller sent while the daemon was starting. */
	void startReading() {
		this.lastReadNanos = System.nanoTime();
		this.channel.config().setAutoRead(true);
	}

	/** Called with each read of raw bytes, before they are decoded. */
	void onBytesRead() {
		this.lastReadNanos = System.nanoTime();
		if (this.receivingRequest == null && !this.headIncomplete) {
			this.headIncomplete = true;
			this.headStartedNanos = this.lastReadNanos;
		}
	}

	@Override
	public void channelRead(ChannelHandlerContext ctx, Object message) {
		try {
			if (!this.closing) {
				onMessage((HttpObject) message);
			}
		}
		finally {
			ReferenceCountUtil.release(message);
		}
	}

	private void onMessage(HttpObject message) {
		if (message.decoderResult().isFailure()) {
			rejectAndClose(statusOf(message.decoderResult().cause()), "the request is malformed");
			return;
		}
		if (message instanceof HttpRequest head) {
			onHead(head);
		}
		if (message instanceof HttpContent content && this.receivingRequest != null) {
			onContent(content);
		}
	}

	private static HttpResponseStatus statusOf(Throwable cause) {
		if (cause instanceof TooLongHttpHeaderException) {
			return HttpResponseStatus.REQUEST_HEADER_FIELDS_TOO_LARGE;
		}
		if (cause instanceof TooLongHttpLineException) {
			return HttpResponseStatus.REQUEST_URI_TOO_LONG;
		}
		return HttpResponseStatus.BAD_REQUEST;
	}

	private void onHead(HttpRequest head) {
		this.headIncomplete = false;
		if (head.headers().getAll(HttpHeaderNames.HOST).size() != 1 || !head.uri().startsWith("/")) {
			rejectAndClose(HttpResponseStatus.BAD_REQUEST, "a request needs one Host field and a path");
			return;
		}
		Optional<RelayEnvelope> envelope = Optional.empty();
		if (this.ofDaemon) {
			envelope = RelayEnvelope.decode(head.headers().get(RelayEnvelope.FIELD));
			head.headers().remove(RelayEnvelope.FIELD);
			if (envelope.isEmpty()) {
				rejectAndClose(HttpResponseStatus.BAD_REQUEST, "requests of callers use the other port");
				return;
			}
		}
		RequestLimits limits = this.router.limits();
		if (HttpUtil.getContentLength(head, 0L) > limits.maxBodyBytes()) {
			rejectAndClose(HttpResponseStatus.REQUEST_ENTITY_TOO_LARGE, "the body exceeds the limit");
			return;
		}
		if (HttpUtil.is100ContinueExpected(head) && this.exchange == null) {
			this.channel.writeAndFlush(new DefaultFullHttpResponse(HttpVersion.HTTP_1_1, HttpResponseStatus.CONTINUE,
					Unpooled.EMPTY_BUFFER));
		}
		this.requestCount++;
		this.receivingRequest = new IncomingRequest(head, this.router.headers().readRequest(head).deadlineMs(),
				System.nanoTime(), envelope);
	}

	private void onContent(HttpContent content) {
		ByteBuf bytes = content.content();
		if (bytes.isReadable()) {
			if (this.receivingRequest.bodySize() + bytes.readableBytes() > this.router.limits().maxBodyBytes()) {
				rejectAndClose(HttpResponseStatus.REQUEST_ENTITY_TOO_LARGE, "the body exceeds the limit");
				return;
			}
			if (!this.router.buffers().tryReserveRequest(bytes.readableBytes())) {
				rejectAndClose(HttpResponseStatus.SERVICE_UNAVAILABLE, "too many request bodies at once");
				return;
			}
			this.receivingRequest.append(bytes);
		}
		if (content instanceof LastHttpContent) {
			this.queuedRequests.addLast(this.receivingRequest);
			this.receivingRequest = null;
			this.channel.config().setAutoRead(this.queuedRequests.size() < MAX_PIPELINED);
			startNextRequest();
		}
	}

	private void startNextRequest() {
		if (this.exchange != null || this.closing) {
			return;
		}
		IncomingRequest next = this.queuedRequests.pollFirst();
		if (next == null) {
			return;
		}
		this.channel.config().setAutoRead(true);
		this.respondsToHead = next.head().method().equals(HttpMethod.HEAD);
		this.closeAfterResponse = !HttpUtil.isKeepAlive(next.head());
		this.supportsChunked = next.head().protocolVersion().equals(HttpVersion.HTTP_1_1);
		this.exchange = new Exchange(this.router, this, next);
		this.exchange.admitAndDispatch();
	}

	private void rejectAndClose(HttpResponseStatus status, String message) {
		if (this.exchange != null) {
			// The response to an earlier request is still due; the connection closes
			// after it.
			this.closeAfterResponse = true;
			this.closing = true;
			return;
		}
		this.router.log().recordRejection(status.code(), message);
		releaseRequests();
		this.closing = true;
		this.closeAfterResponse = true;
		writeResponse(OwnResponses.create(status, message, -1));
	}

	private void releaseRequests() {
		if (this.receivingRequest != null) {
			this.receivingRequest.release(this.router.buffers());
			this.receivingRequest = null;
		}
		while (!this.queuedRequests.isEmpty()) {
			this.queuedRequests.removeFirst().release(this.router.buffers());
		}
	}

	// Sends a complete response and starts the next request.
	void sendResponse(DefaultFullHttpResponse response) {
		writeResponse(response);
		onResponseFinished();
	}

	private void writeResponse(DefaultFullHttpResponse response) {
		boolean close = closesAfterResponse();
		HttpHeaders headers = response.headers();
		if (!this.respondsToHead || !headers.contains(HttpHeaderNames.CONTENT_LENGTH)) {
			headers.set(HttpHeaderNames.CONTENT_LENGTH, response.content().readableBytes());
		}
		if (close) {
			this.closing = true;
			headers.set(HttpHeaderNames.CONNECTION, HttpHeaderValues.CLOSE);
			this.channel.writeAndFlush(response).addListener((done) -> closeAfterLinger());
		}
		else {
			this.channel.writeAndFlush(response);
		}
	}

	private boolean closesAfterResponse() {
		return this.closeAfterResponse
				|| ((this.ofDaemon) ? this.router.shutdown().isRequested() : this.router.closesCallers());
	}

	// Starts a streamed response. Adapts the given header fields to this connection.
	void startStreamedResponse(HttpResponse head, HttpHeaders headers) {
		DefaultHttpResponse response = new DefaultHttpResponse(HttpVersion.HTTP_1_1, head.status(), headers);
		this.closeAfterResponse |= !this.supportsChunked;
		headers.remove(HttpHeaderNames.CONTENT_LENGTH);
		if (this.supportsChunked) {
			headers.set(HttpHeaderNames.TRANSFER_ENCODING, HttpHeaderValues.CHUNKED);
		}
		if (closesAfterResponse()) {
			this.closeAfterResponse = true;
			headers.set(HttpHeaderNames.CONNECTION, HttpHeaderValues.CLOSE);
		}
		this.channel.write(response);
	}

	void writeStreamContent(byte[] bytes) {
		this.channel.write(new DefaultHttpContent(Unpooled.wrappedBuffer(bytes)));
	}

	void flush() {
		this.channel.flush();
	}

	/** Ends a streamed response as complete. */
	void endStreamedResponse() {
		// The head of a stream that began before the stop signal did not announce that
		// the connection closes; another request on it would come too late to be
		// finished.
		if (this.closeAfterResponse || (this.router.shutdown().isRequested() && this.queuedRequests.isEmpty())) {
			this.closing = true;
			this.channel.writeAndFlush(LastHttpContent.EMPTY_LAST_CONTENT).addListener((done) -> closeAfterLinger());
		}
		else {
			this.channel.writeAndFlush(LastHttpContent.EMPTY_LAST_CONTENT);
		}
		onResponseFinished();
	}

	/**
	 * Closes the connection without ending the response, so that the caller sees that it
	 * is incomplete. A response that is not in chunks would end with its connection, so
	 * that the connection is reset.
	 */
	void abortResponse() {
		this.closing = true;
		this.exchange = null;
		if (!this.supportsChunked) {
			this.channel.config().setOption(ChannelOption.SO_LINGER, 0);
		}
		this.channel.close();
	}

	private void onResponseFinished() {
		this.exchange = null;
		this.lastReadNanos = System.nanoTime();
		this.headStartedNanos = this.lastReadNanos;
		startNextRequest();
	}

	// Ends the output, and closes the connection after a time in which the caller can
	// read.
	private void closeAfterLinger() {
		// Closing a socket with unread bytes resets the connection, and a response in
		// transit may be lost.
		if (this.channel instanceof DuplexChannel duplex && duplex.isActive()) {
			duplex.shutdownOutput()
				.addListener((done) -> this.channel.eventLoop()
					.schedule(() -> this.channel.close(), LINGER_MS, TimeUnit.MILLISECONDS));
		}
		else {
			this.channel.close();
		}
	}

	boolean isWritable() {
		return this.channel.isWritable();
	}

	@Override
	public void channelWritabilityChanged(ChannelHandlerContext ctx) {
		if (this.exchange != null) {
			this.exchange.onCallerWritable(ctx.channel().isWritable());
		}
	}

	@Override
	public void channelInactive(ChannelHandlerContext ctx) {
		this.closing = true;
		releaseRequests();
		this.router.callers().remove(this);
		if (this.exchange != null) {
			Exchange abandoned = this.exchange;
			this.exchange = null;
			abandoned.onCallerDisconnected();
		}
	}

	@Override
	public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
		ctx.close();
	}

	// Enforces the timeouts for the request head, the body and idle connections.
	void checkTimeouts(long nowNanos) {
		if (this.exchange != null || this.closing) {
			return;
		}
		RequestLimits limits = this.router.limits();
		long silenceMs = TimeUnit.NANOSECONDS.toMillis(nowNanos - this.lastReadNanos);
		if (this.headIncomplete
				&& TimeUnit.NANOSECONDS.toMillis(nowNanos - this.headStartedNanos) >= limits.headerTimeoutMs()) {
			rejectAndClose(HttpResponseStatus.REQUEST_TIMEOUT, "the request head did not arrive in time");
		}
		else if (this.receivingRequest != null
				&& (silenceMs >= limits.idleTimeoutMs() || this.receivingRequest.isPastDeadline(nowNanos))) {
			rejectAndClose(HttpResponseStatus.REQUEST_TIMEOUT, "the request body did not arrive in time");
		}
		else if (this.receivingRequest == null && silenceMs >= limits.idleTimeoutMs()) {
			closeIfIdle();
		}
	}

	/**
	 * Closes the connection if no request is open on it and none is likely to be on its
	 * way: a caller that has just connected sends its first request at once.
	 * @param nowNanos the current steady time in ns
	 */
	void closeIfIdleAtStop(long nowNanos) {
		long silenceMs = TimeUnit.NANOSECONDS.toMillis(nowNanos - this.lastReadNanos);
		if (this.requestCount > 0 || silenceMs >= FIRST_REQUEST_WAIT_MS) {
			closeIfIdle();
		}
	}

	/** Closes the connection if no request is open on it. */
	void closeIfIdle() {
		if (this.exchange == null && this.receivingRequest == null && this.queuedRequests.isEmpty()
				&& !this.headIncomplete) {
			this.closing = true;
			closeAfterLinger();
		}
	}

	int requestCount() {
		return this.requestCount;
	}

	boolean isBusy() {
		return this.exchange != null || this.receivingRequest != null || !this.queuedRequests.isEmpty();
	}

	/** A request as it was received, with its buffered body. */
	static final class IncomingRequest {

		private final HttpRequest head;

		private final long deadlineMs;

		private final long arrivalNanos;

		private final Optional<RelayEnvelope> envelope;

		private ByteBuf body = Unpooled.EMPTY_BUFFER;

		// The deadline is the time for which the caller waits, in ms; negative if it does
		// not state one. The envelope is present if another daemon passed the request on.
		IncomingRequest(HttpRequest head, long deadlineMs, long arrivalNanos, Optional<RelayEnvelope> envelope) {
			this.head = head;
			this.deadlineMs = deadlineMs;
			this.arrivalNanos = arrivalNanos;
			this.envelope = envelope;
		}

		Optional<RelayEnvelope> envelope() {
			return this.envelope;
		}

		HttpRequest head() {
			return this.head;
		}

		long arrivalNanos() {
			return this.arrivalNanos;
		}

		boolean isPastDeadline(long nowNanos) {
			return this.deadlineMs >= 0
					&& TimeUnit.NANOSECONDS.toMillis(nowNanos - this.arrivalNanos) >= this.deadlineMs;
		}

		ByteBuf body() {
			return this.body;
		}

		int bodySize() {
			return this.body.readableBytes();
		}

		void append(ByteBuf bytes) {
			if (this.body == Unpooled.EMPTY_BUFFER) {
				this.body = Unpooled.buffer(bytes.readableBytes());
			}
			this.body.writeBytes(bytes, bytes.readerIndex(), bytes.readableBytes());
		}

		void release(BufferLimits buffers) {
			buffers.releaseRequest(bodySize());
			this.body = Unpooled.EMPTY_BUFFER;
		}

		String host() {
			return this.head.headers().get(HttpHeaderNames.HOST);
		}

	}

}
