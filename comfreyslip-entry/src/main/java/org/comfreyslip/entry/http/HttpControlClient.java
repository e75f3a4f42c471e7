package org.comfreyslip.entry.http;

import java.net.InetSocketAddress;
import java.nio.channels.ClosedChannelException;
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
import io.netty.handler.codec.http.EmptyHttpHeaders;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.FullHttpResponse;
import io.netty.handler.codec.http.HttpClientCodec;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpObjectAggregator;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.util.concurrent.ScheduledFuture;

/**
 * Sends control calls to one address, one at a time over one persistent connection. Each
 * call has its own timeout on steady time; a call that times out closes the connection,
 * since a connection may become silent while new ones work.
 */
public final class HttpControlClient {

	/** Longest wait for a connection, in ms. */
	private static final int CONNECT_TIMEOUT_MS = 500;

	private final EventLoop loop;

	private final InetSocketAddress address;

	private final int maxResponseBytes;

	private final Bootstrap bootstrap;

	private Channel channel;

	private Consumer<CallResult> pendingCallback;

	private ScheduledFuture<?> timeoutTask;

	/**
	 * Creates a client without a connection.
	 * @param loop the event loop
	 * @param address the address to which calls are sent
	 * @param maxResponseBytes largest body of a response, in bytes; a larger one ends the
	 * call
	 */
	public HttpControlClient(EventLoop loop, InetSocketAddress address, int maxResponseBytes) {
		this.loop = loop;
		this.address = address;
		this.maxResponseBytes = maxResponseBytes;
		this.bootstrap = new Bootstrap().group(loop)
			.channel(NioSocketChannel.class)
			.option(ChannelOption.CONNECT_TIMEOUT_MILLIS, CONNECT_TIMEOUT_MS)
			.option(ChannelOption.TCP_NODELAY, true);
	}

	/**
	 * Sends a call. Only one call may be open at a time.
	 * @param request the request; its reference passes to this client
	 * @param timeoutMs longest wait for the complete response, in ms
	 * @param callback takes the result, once
	 */
	public void call(FullHttpRequest request, long timeoutMs, Consumer<CallResult> callback) {
		if (this.pendingCallback != null) {
			throw new IllegalStateException("a call to " + this.address + " is open; wait for its result");
		}
		this.pendingCallback = callback;
		HttpUtil.setContentLength(request, request.content().readableBytes());
		this.timeoutTask = this.loop.schedule(() -> fail("no response within " + timeoutMs + " ms"), timeoutMs,
				TimeUnit.MILLISECONDS);
		if (this.channel != null && this.channel.isActive()) {
			write(request, callback);
			return;
		}
		connect(request, callback);
	}

	private void connect(FullHttpRequest request, Consumer<CallResult> callback) {
		this.bootstrap.clone().handler(new ChannelInitializer<Channel>() {
			@Override
			protected void initChannel(Channel newChannel) {
				newChannel.pipeline()
					.addLast(new HttpClientCodec())
					.addLast(new HttpObjectAggregator(HttpControlClient.this.maxResponseBytes))
					.addLast(new Handler());
			}
		}).connect(this.address).addListener((ChannelFuture future) -> {
			if (this.pendingCallback != callback) {
				request.release();
				future.channel().close();
			}
			else if (future.isSuccess()) {
				this.channel = future.channel();
				write(request, callback);
			}
			else {
				request.release();
				fail("cannot connect: " + future.cause().getMessage());
			}
		});
	}

	// A failed write takes the error of the socket, so that a response without a length
	// would end as if it were complete.
	private void write(FullHttpRequest request, Consumer<CallResult> callback) {
		this.channel.writeAndFlush(request).addListener((written) -> {
			if (written.cause() != null && !(written.cause() instanceof ClosedChannelException)) {
				this.loop.execute(() -> failWrite(callback, written.cause()));
			}
		});
	}

	private void failWrite(Consumer<CallResult> callback, Throwable cause) {
		if (this.pendingCallback == callback) {
			fail("the request could not be written: " + cause.getMessage());
		}
	}

	private void fail(String reason) {
		if (this.channel != null) {
			this.channel.close();
			this.channel = null;
		}
		finish(CallResult.failed(reason));
	}

	private void finish(CallResult result) {
		Consumer<CallResult> callback = this.pendingCallback;
		this.pendingCallback = null;
		if (this.timeoutTask != null) {
			this.timeoutTask.cancel(false);
			this.timeoutTask = null;
		}
		if (callback != null) {
			callback.accept(result);
		}
	}

	/** Ends an open call without calling its callback and closes the connection. */
	public void close() {
		this.pendingCallback = null;
		fail("closed");
	}

	/**
	 * Result of a call.
	 *
	 * @param status the status code; 0 if no response arrived
	 * @param headers the header fields; none if no response arrived
	 * @param body the body; empty if no response arrived
	 * @param failure why no response arrived; empty if one did
	 */
	public record CallResult(int status, HttpHeaders headers, byte[] body, String failure) {

		static CallResult failed(String reason) {
			return new CallResult(0, EmptyHttpHeaders.INSTANCE, new byte[0], reason);
		}

		/**
		 * Describes the result for a log line.
		 * @return the status code, or why no response arrived
		 */
		public String describe() {
			return (this.status == 0) ? this.failure : "status " + this.status;
		}

	}

	private final class Handler extends SimpleChannelInboundHandler<FullHttpResponse> {

		@Override
		protected void channelRead0(ChannelHandlerContext ctx, FullHttpResponse response) {
			if (ctx.channel() != HttpControlClient.this.channel) {
				ctx.close();
				return;
			}
			byte[] body = new byte[response.content().readableBytes()];
			response.content().readBytes(body);
			if (!HttpUtil.isKeepAlive(response) || response.decoderResult().isFailure()) {
				HttpControlClient.this.channel = null;
				ctx.close();
			}
			if (response.decoderResult().isFailure()) {
				finish(CallResult.failed("the response cannot be decoded"));
				return;
			}
			finish(new CallResult(response.status().code(), response.headers(), body, ""));
		}

		@Override
		public void channelInactive(ChannelHandlerContext ctx) {
			if (ctx.channel() == HttpControlClient.this.channel) {
				fail("the connection was closed");
			}
		}

		@Override
		public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
			if (ctx.channel() == HttpControlClient.this.channel) {
				fail("the connection failed: " + cause.getMessage());
			}
			ctx.close();
		}

	}

}
