package org.comfreyslip.entry.http;

import java.io.IOException;
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
 * One connection to an endpoint, which carries one request at a time. A connection that
 * delivered bytes that belong to no request is not used again.
 */
final class EndpointConnection extends ChannelInboundHandlerAdapter {

	/** Time for which an idle connection is kept if the endpoint states none, in ns. */
	private static final long DEFAULT_IDLE_NANOS = TimeUnit.SECONDS.toNanos(4);

	/**
	 * Share of the endpoint's stated idle time that is used, so that its close does not
	 * cross a request.
	 */
	private static final double IDLE_SHARE = 0.6;

	private final EndpointPool pool;

	private final String poolKey;

	private Channel channel;

	private ReplyListener listener;

	private String attemptId = "";

	private boolean written;

	private boolean headSeen;

	private boolean complete;

	private boolean skipping;

	private boolean first = true;

	private boolean reusable = true;

	private long idleNanos = DEFAULT_IDLE_NANOS;

	private long idleSinceNanos;

	EndpointConnection(EndpointPool pool, String poolKey) {
		this.pool = pool;
		this.poolKey = poolKey;
	}

	@Override
	public void handlerAdded(ChannelHandlerContext ctx) {
		this.channel = ctx.channel();
	}

	// Takes over a request. It is written once the connection is open.
	void assign(ReplyListener next, String id) {
		this.listener = next;
		this.attemptId = id;
		this.written = false;
		this.headSeen = false;
		this.complete = false;
	}

	void write(FullHttpRequest request) {
		this.listener.onSent();
		ChannelFuture future = this.channel.writeAndFlush(request);
		future.addListener((done) -> this.written = true);
	}

	boolean isAssigned() {
		return this.listener != null;
	}

	void connectFailed() {
		end(BreakCause.NOT_CONNECTED);
	}

	/** Ends the request without telling the listener, which asked for it. */
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
		if (this.listener == null || this.complete) {
			this.reusable = false;
			close();
			return;
		}
		if (message.decoderResult().isFailure()) {
			end(BreakCause.GARBLED);
			return;
		}
		if (message instanceof HttpResponse head) {
			onHead(head);
		}
		if (message instanceof HttpContent content && this.listener != null) {
			onContent(content);
		}
	}

	private void onHead(HttpResponse head) {
		if (head.status().codeClass() == HttpStatusClass.INFORMATIONAL) {
			this.skipping = true;
			return;
		}
		Wire.ReplyFacts facts = this.pool.wire().reply(head);
		boolean own = facts.attemptId().map(this.attemptId::equals).orElse(this.first && !facts.signed());
		if (!own) {
			// A late response to an earlier request; the one that is due may still
			// follow.
			this.skipping = true;
			this.reusable = false;
			return;
		}
		this.headSeen = true;
		this.reusable &= facts.reusable();
		if (facts.keepAliveMs() >= 0) {
			this.idleNanos = (long) (TimeUnit.MILLISECONDS.toNanos(facts.keepAliveMs()) * IDLE_SHARE);
		}
		this.listener.onHead(head, facts);
	}

	private void onContent(HttpContent content) {
		boolean last = content instanceof LastHttpContent;
		if (this.skipping) {
			this.skipping = !last;
			return;
		}
		if (!this.headSeen) {
			end(BreakCause.GARBLED);
			return;
		}
		if (content.content().isReadable()) {
			this.listener.onContent(content.content());
		}
		if (last && this.listener != null) {
			this.complete = true;
			this.first = false;
		}
	}

	@Override
	public void channelReadComplete(ChannelHandlerContext ctx) {
		if (this.listener != null) {
			this.listener.onPause();
		}
		finishIfComplete();
	}

	private void finishIfComplete() {
		if (!this.complete || this.listener == null) {
			return;
		}
		ReplyListener done = this.listener;
		this.listener = null;
		this.complete = false;
		this.idleSinceNanos = System.nanoTime();
		if (this.reusable && this.written && this.channel.isActive()) {
			this.pool.release(this.poolKey, this);
		}
		else {
			close();
		}
		done.onComplete();
	}

	@Override
	public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
		end((cause instanceof IOException) ? BreakCause.CLOSED : BreakCause.GARBLED);
	}

	@Override
	public void channelInactive(ChannelHandlerContext ctx) {
		finishIfComplete();
		end(BreakCause.CLOSED);
	}

	private void end(BreakCause cause) {
		ReplyListener ended = this.listener;
		this.listener = null;
		close();
		if (ended != null) {
			ended.onBroken(cause);
		}
	}

	private void close() {
		this.pool.forget(this.poolKey, this);
		if (this.channel != null) {
			this.channel.close();
		}
	}

	boolean isUsable(long nowNanos) {
		return this.channel.isActive() && nowNanos - this.idleSinceNanos < this.idleNanos;
	}

	boolean isIdleSince(long nanos, long nowNanos) {
		return nowNanos - this.idleSinceNanos >= nanos;
	}

	void closeIdle() {
		close();
	}

}
