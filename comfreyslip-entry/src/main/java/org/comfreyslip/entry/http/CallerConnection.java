package org.comfreyslip.entry.http;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.concurrent.TimeUnit;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
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
 * One caller's connection: collects whole requests, has them answered one after the
 * other, and enforces the limits on size and time.
 */
final class CallerConnection extends ChannelInboundHandlerAdapter {

	/** Requests that may wait behind the one being answered before reading stops. */
	private static final int MAX_PIPELINED = 8;

	/**
	 * Time in which the caller reads the last response before the connection is closed,
	 * in ms.
	 */
	private static final long LINGER_MS = 200;

	private final Router router;

	private final Deque<Incoming> queue = new ArrayDeque<>();

	private Channel channel;

	private Incoming receiving;

	private Exchange exchange;

	private boolean closing;

	private boolean closeAfterReply;

	private boolean headRequest;

	private boolean chunked;

	private long lastReadNanos;

	private boolean headPending;

	CallerConnection(Router router) {
		this.router = router;
	}

	@Override
	public void channelActive(ChannelHandlerContext ctx) {
		this.channel = ctx.channel();
		this.lastReadNanos = System.nanoTime();
		this.channel.config().setAutoRead(this.router.isOpen());
		this.router.onCallerOpened(this);
	}

	/** Starts to read what the caller sent while the daemon started. */
	void open() {
		this.lastReadNanos = System.nanoTime();
		this.channel.config().setAutoRead(true);
	}

	/** Called with each read of raw bytes, before they are decoded. */
	void onBytes() {
		this.lastReadNanos = System.nanoTime();
		this.headPending = this.receiving == null;
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
		if (message instanceof HttpContent content && this.receiving != null) {
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
		this.headPending = false;
		if (head.headers().getAll(HttpHeaderNames.HOST).size() != 1 || !head.uri().startsWith("/")) {
			rejectAndClose(HttpResponseStatus.BAD_REQUEST, "a request needs one Host field and a path");
			return;
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
		this.receiving = new Incoming(head, System.nanoTime());
	}

	private void onContent(HttpContent content) {
		ByteBuf bytes = content.content();
		if (bytes.isReadable()) {
			if (this.receiving.size() + bytes.readableBytes() > this.router.limits().maxBodyBytes()) {
				rejectAndClose(HttpResponseStatus.REQUEST_ENTITY_TOO_LARGE, "the body exceeds the limit");
				return;
			}
			if (!this.router.tryBuffer(bytes.readableBytes())) {
				rejectAndClose(HttpResponseStatus.SERVICE_UNAVAILABLE, "too many request bodies at once");
				return;
			}
			this.receiving.append(bytes);
		}
		if (content instanceof LastHttpContent) {
			this.queue.addLast(this.receiving);
			this.receiving = null;
			this.channel.config().setAutoRead(this.queue.size() < MAX_PIPELINED);
			startNext();
		}
	}

	private void startNext() {
		if (this.exchange != null || this.closing) {
			return;
		}
		Incoming next = this.queue.pollFirst();
		if (next == null) {
			return;
		}
		this.channel.config().setAutoRead(true);
		this.headRequest = next.head().method().equals(HttpMethod.HEAD);
		this.closeAfterReply = !HttpUtil.isKeepAlive(next.head());
		this.chunked = next.head().protocolVersion().equals(HttpVersion.HTTP_1_1);
		this.exchange = new Exchange(this.router, this, next);
		this.exchange.begin();
	}

	private void rejectAndClose(HttpResponseStatus status, String message) {
		if (this.exchange != null) {
			// The earlier request is still being answered; its response ends the
			// connection.
			this.closeAfterReply = true;
			this.closing = true;
			return;
		}
		this.router.onRejected(status.code(), message);
		dropReceived();
		this.closing = true;
		this.closeAfterReply = true;
		write(Replies.own(status, message, -1));
	}

	private void dropReceived() {
		if (this.receiving != null) {
			this.receiving.release(this.router);
			this.receiving = null;
		}
		while (!this.queue.isEmpty()) {
			this.queue.removeFirst().release(this.router);
		}
	}

	// Sends a whole response and takes the next request.
	void reply(DefaultFullHttpResponse response) {
		write(response);
		finished();
	}

	private void write(DefaultFullHttpResponse response) {
		boolean close = this.closeAfterReply || this.router.isStopping();
		HttpHeaders headers = response.headers();
		if (!this.headRequest || !headers.contains(HttpHeaderNames.CONTENT_LENGTH)) {
			headers.set(HttpHeaderNames.CONTENT_LENGTH, response.content().readableBytes());
		}
		if (close) {
			this.closing = true;
			headers.set(HttpHeaderNames.CONNECTION, HttpHeaderValues.CLOSE);
			this.channel.writeAndFlush(response).addListener((done) -> closeGently());
		}
		else {
			this.channel.writeAndFlush(response);
		}
	}

	// Starts a streamed response.
	void startStream(HttpResponse head, HttpHeaders relayed) {
		DefaultHttpResponse own = new DefaultHttpResponse(HttpVersion.HTTP_1_1, head.status(), relayed);
		this.closeAfterReply |= !this.chunked;
		relayed.remove(HttpHeaderNames.CONTENT_LENGTH);
		if (this.chunked) {
			relayed.set(HttpHeaderNames.TRANSFER_ENCODING, HttpHeaderValues.CHUNKED);
		}
		if (this.closeAfterReply || this.router.isStopping()) {
			this.closeAfterReply = true;
			relayed.set(HttpHeaderNames.CONNECTION, HttpHeaderValues.CLOSE);
		}
		this.channel.write(own);
	}

	void streamContent(byte[] bytes) {
		this.channel.write(new DefaultHttpContent(Unpooled.wrappedBuffer(bytes)));
	}

	void flush() {
		this.channel.flush();
	}

	/** Ends a streamed response as complete. */
	void endStream() {
		// A stream that began before the stop signal did not announce the end of its
		// connection; a further request on
		// it would be taken too late to be finished.
		if (this.closeAfterReply || (this.router.isStopping() && this.queue.isEmpty())) {
			this.closing = true;
			this.channel.writeAndFlush(LastHttpContent.EMPTY_LAST_CONTENT).addListener((done) -> closeGently());
		}
		else {
			this.channel.writeAndFlush(LastHttpContent.EMPTY_LAST_CONTENT);
		}
		finished();
	}

	/** Breaks the response off, so that it does not look complete. */
	void abort() {
		this.closing = true;
		this.exchange = null;
		this.channel.close();
	}

	private void finished() {
		this.exchange = null;
		this.lastReadNanos = System.nanoTime();
		startNext();
	}

	private void closeGently() {
		// Closing with unread bytes resets the connection and may destroy the response on
		// its way.
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
		dropReceived();
		this.router.onCallerClosed(this);
		if (this.exchange != null) {
			Exchange abandoned = this.exchange;
			this.exchange = null;
			abandoned.onCallerGone();
		}
	}

	@Override
	public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
		ctx.close();
	}

	// Enforces the limits on time.
	void tick(long nowNanos) {
		if (this.exchange != null || this.closing) {
			return;
		}
		RequestLimits limits = this.router.limits();
		long quietMs = TimeUnit.NANOSECONDS.toMillis(nowNanos - this.lastReadNanos);
		if (this.headPending && quietMs >= limits.headerTimeoutMs()) {
			rejectAndClose(HttpResponseStatus.REQUEST_TIMEOUT, "the request head did not arrive in time");
		}
		else if (this.receiving != null && quietMs >= limits.idleTimeoutMs()) {
			rejectAndClose(HttpResponseStatus.REQUEST_TIMEOUT, "the request body did not arrive in time");
		}
		else if (this.receiving == null && quietMs >= limits.idleTimeoutMs()) {
			closeIdle();
		}
	}

	/** Closes the connection if no request is open on it. */
	void closeIdle() {
		if (this.exchange == null && this.receiving == null && this.queue.isEmpty() && !this.headPending) {
			this.closing = true;
			closeGently();
		}
	}

	boolean isBusy() {
		return this.exchange != null || this.receiving != null || !this.queue.isEmpty();
	}

	/** A request as it arrived. */
	static final class Incoming {

		private final HttpRequest head;

		private final long arrivalNanos;

		private ByteBuf body = Unpooled.EMPTY_BUFFER;

		Incoming(HttpRequest head, long arrivalNanos) {
			this.head = head;
			this.arrivalNanos = arrivalNanos;
		}

		HttpRequest head() {
			return this.head;
		}

		long arrivalNanos() {
			return this.arrivalNanos;
		}

		ByteBuf body() {
			return this.body;
		}

		int size() {
			return this.body.readableBytes();
		}

		void append(ByteBuf bytes) {
			if (this.body == Unpooled.EMPTY_BUFFER) {
				this.body = Unpooled.buffer(bytes.readableBytes());
			}
			this.body.writeBytes(bytes, bytes.readerIndex(), bytes.readableBytes());
		}

		void release(Router router) {
			router.unbuffer(size());
			this.body = Unpooled.EMPTY_BUFFER;
		}

		String host() {
			return this.head.headers().get(HttpHeaderNames.HOST);
		}

	}

}
