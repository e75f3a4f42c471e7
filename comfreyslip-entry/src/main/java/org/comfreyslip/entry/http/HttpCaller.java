package org.comfreyslip.entry.http;

import java.net.InetSocketAddress;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;

import io.netty.bootstrap.Bootstrap;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoop;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.channel.socket.nio.NioSocketChannel;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.FullHttpResponse;
import io.netty.handler.codec.http.HttpClientCodec;
import io.netty.handler.codec.http.HttpObjectAggregator;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.util.concurrent.ScheduledFuture;

/**
 * Sends control calls to one address, one at a time over one kept connection. Each call
 * has its own timeout on steady time; a call that runs into it closes the connection,
 * since a connection may go silent while new ones work.
 */
public final class HttpCaller {

	/** Longest wait for a connection, in ms. */
	private static final int CONNECT_TIMEOUT_MS = 500;

	/**
	 * Largest response, in bytes: one read of the store returns at most 1 MB, base64 adds
	 * a third.
	 */
	private static final int MAX_RESPONSE = 4 << 20;

	private final EventLoop loop;

	private final InetSocketAddress address;

	private final Bootstrap bootstrap;

	private Channel channel;

	private Consumer<Reply> waiting;

	private ScheduledFuture<?> timeout;

	/**
	 * Creates a caller.
	 * @param loop the event loop
	 * @param address the address that is called
	 */
	public HttpCaller(EventLoop loop, InetSocketAddress address) {
		this.loop = loop;
		this.address = address;
		this.bootstrap = new Bootstrap().group(loop)
			.channel(NioSocketChannel.class)
			.option(ChannelOption.CONNECT_TIMEOUT_MILLIS, CONNECT_TIMEOUT_MS)
			.option(ChannelOption.TCP_NODELAY, true);
	}

	/**
	 * Sends a call.
	 * @param request the request; its reference passes to the caller
	 * @param timeoutMs longest wait for the complete response, in ms
	 * @param done takes the outcome, once
	 */
	public void call(FullHttpRequest request, long timeoutMs, Consumer<Reply> done) {
		if (this.waiting != null) {
			throw new IllegalStateException("a call to " + this.address + " is open; wait for its outcome");
		}
		this.waiting = done;
		HttpUtil.setContentLength(request, request.content().readableBytes());
		this.timeout = this.loop.schedule(() -> fail("no answer within " + timeoutMs + " ms"), timeoutMs,
				TimeUnit.MILLISECONDS);
		if (this.channel != null && this.channel.isActive()) {
			this.channel.writeAndFlush(request);
			return;
		}
		connect(request, done);
	}

	private void connect(FullHttpRequest request, Consumer<Reply> done) {
		this.bootstrap.clone().handler(new ChannelInitializer<Channel>() {
			@Override
			protected void initChannel(Channel fresh) {
				fresh.pipeline()
					.addLast(new HttpClientCodec())
					.addLast(new HttpObjectAggregator(MAX_RESPONSE))
					.addLast(new Handler());
			}
		}).connect(this.address).addListener((ChannelFuture future) -> {
			if (this.waiting != done) {
				request.release();
				future.channel().close();
			}
			else if (future.isSuccess()) {
				this.channel = future.channel();
				this.channel.writeAndFlush(request);
			}
			else {
				request.release();
				fail("cannot connect: " + future.cause().getMessage());
			}
		});
	}

	private void fail(String reason) {
		if (this.channel != null) {
			this.channel.close();
			this.channel = null;
		}
		finish(new Reply(0, new byte[0], reason));
	}

	private void finish(Reply reply) {
		Consumer<Reply> done = this.waiting;
		this.waiting = null;
		if (this.timeout != null) {
			this.timeout.cancel(false);
			this.timeout = null;
		}
		if (done != null) {
			done.accept(reply);
		}
	}

	/** Ends an open call without an outcome and closes the connection. */
	public void close() {
		this.waiting = null;
		fail("closed");
	}

	/**
	 * Outcome of a call.
	 *
	 * @param status the status code; 0 if no response arrived
	 * @param body the body
	 * @param failure why no response arrived; empty if one did
	 */
	public record Reply(int status, byte[] body, String failure) {

		/**
		 * Describes the outcome for a log line.
		 * @return status or failure
		 */
		public String describe() {
			return (this.status == 0) ? this.failure : "status " + this.status;
		}

	}

	private final class Handler extends SimpleChannelInboundHandler<FullHttpResponse> {

		@Override
		protected void channelRead0(ChannelHandlerContext ctx, FullHttpResponse response) {
			if (ctx.channel() != HttpCaller.this.channel) {
				ctx.close();
				return;
			}
			byte[] body = new byte[response.content().readableBytes()];
			response.content().readBytes(body);
			if (!HttpUtil.isKeepAlive(response) || response.decoderResult().isFailure()) {
				HttpCaller.this.channel = null;
				ctx.close();
			}
			if (response.decoderResult().isFailure()) {
				finish(new Reply(0, new byte[0], "the response cannot be decoded"));
				return;
			}
			finish(new Reply(response.status().code(), body, ""));
		}

		@Override
		public void channelInactive(ChannelHandlerContext ctx) {
			if (ctx.channel() == HttpCaller.this.channel) {
				fail("the connection was closed");
			}
		}

		@Override
		public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
			if (ctx.channel() == HttpCaller.this.channel) {
				fail("the connection failed: " + cause.getMessage());
			}
			ctx.close();
		}

	}

}
