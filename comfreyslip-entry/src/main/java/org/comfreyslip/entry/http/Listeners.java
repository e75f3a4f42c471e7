package org.comfreyslip.entry.http;

import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.function.BooleanSupplier;
import java.util.function.Supplier;

import io.netty.bootstrap.ServerBootstrap;
import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelFutureListener;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoop;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.channel.WriteBufferWaterMark;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import io.netty.handler.codec.http.DefaultFullHttpResponse;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpObjectAggregator;
import io.netty.handler.codec.http.HttpResponseEncoder;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpServerCodec;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.HttpVersion;

/**
 * Binds the daemon's listening sockets: for callers, readiness and metrics.
 */
public final class Listeners {

	/**
	 * Number of connections that may wait to be accepted; with a full queue, opening a
	 * connection is delayed by seconds because its first packet is dropped.
	 */
	private static final int MAX_PENDING_CONNECTIONS = 1_024;

	/**
	 * Back-pressure: reading from the endpoint stops when the unsent bytes of a response
	 * exceed the high mark, and continues below the low mark.
	 */
	private static final WriteBufferWaterMark WRITE_BUFFER_LIMITS = new WriteBufferWaterMark(32 << 10, 128 << 10);

	/** Largest body of a request for readiness or metrics, in bytes. */
	private static final int MAX_STATUS_REQUEST_BYTES = 8_192;

	private Listeners() {
	}

	/**
	 * Listens for callers.
	 * @param loop the event loop
	 * @param address where to listen
	 * @param router serves the requests
	 * @return the future of the bind
	 */
	public static ChannelFuture bindCallers(EventLoop loop, InetSocketAddress address, Router router) {
		return bindRequests(loop, address, router, false);
	}

	/**
	 * Listens for other daemons that pass requests of their callers on.
	 * @param loop the event loop
	 * @param address where to listen
	 * @param router serves the requests
	 * @return the future of the bind
	 */
	public static ChannelFuture bindDaemons(EventLoop loop, InetSocketAddress address, Router router) {
		return bindRequests(loop, address, router, true);
	}

	private static ChannelFuture bindRequests(EventLoop loop, InetSocketAddress address, Router router,
			boolean ofDaemons) {
		int extraHeaderBytes = (ofDaemons) ? RelayEnvelope.MAX_BYTES : 0;
		return bootstrap(loop).childOption(ChannelOption.WRITE_BUFFER_WATER_MARK, WRITE_BUFFER_LIMITS)
			.childHandler(new ChannelInitializer<Channel>() {
				@Override
				protected void initChannel(Channel channel) {
					CallerConnection connection = new CallerConnection(router, ofDaemons);
					channel.pipeline()
						.addLast(new ReadNotifier(connection))
						.addLast(new StrictRequestDecoder(router.limits().maxHeaderBytes() + extraHeaderBytes))
						.addLast(new HttpResponseEncoder())
						.addLast(connection);
				}
			})
			.bind(address);
	}

	/**
	 * Listens for requests that ask whether the daemon is ready. The response is 200 or
	 * 503 without a body.
	 * @param loop the event loop
	 * @param address where to listen
	 * @param readyCheck tells whether the daemon is ready
	 * @return the future of the bind
	 */
	public static ChannelFuture bindReadiness(EventLoop loop, InetSocketAddress address, BooleanSupplier readyCheck) {
		return bindStatus(loop, address,
				() -> new StatusResponse(
						(readyCheck.getAsBoolean()) ? HttpResponseStatus.OK : HttpResponseStatus.SERVICE_UNAVAILABLE,
						""));
	}

	private static ChannelFuture bindStatus(EventLoop loop, InetSocketAddress address,
			Supplier<StatusResponse> responseSupplier) {
		return bootstrap(loop).childHandler(new ChannelInitializer<Channel>() {
			@Override
			protected void initChannel(Channel channel) {
				channel.pipeline()
					.addLast(new HttpServerCodec())
					.addLast(new HttpObjectAggregator(MAX_STATUS_REQUEST_BYTES))
					.addLast(new StatusHandler(responseSupplier));
			}
		}).bind(address);
	}

	/**
	 * Listens for requests for the metrics.
	 * @param loop the event loop
	 * @param address where to listen
	 * @param metricsText returns the text of the metrics
	 * @return the future of the bind
	 */
	public static ChannelFuture bindMetrics(EventLoop loop, InetSocketAddress address, Supplier<String> metricsText) {
		return bindStatus(loop, address, () -> new StatusResponse(HttpResponseStatus.OK, metricsText.get()));
	}

	private static ServerBootstrap bootstrap(EventLoop loop) {
		return new ServerBootstrap().group(loop)
			.channel(NioServerSocketChannel.class)
			.option(ChannelOption.SO_BACKLOG, MAX_PENDING_CONNECTIONS)
			.option(ChannelOption.SO_REUSEADDR, true)
			.childOption(ChannelOption.TCP_NODELAY, true)
			.childOption(ChannelOption.SO_KEEPALIVE, true);
	}

	private static final class ReadNotifier extends ChannelInboundHandlerAdapter {

		private final CallerConnection connection;

		ReadNotifier(CallerConnection connection) {
			this.connection = connection;
		}

		@Override
		public void channelRead(ChannelHandlerContext ctx, Object message) {
			this.connection.onBytesRead();
			ctx.fireChannelRead(message);
		}

	}

	private record StatusResponse(HttpResponseStatus status, String body) {
	}

	private static final class StatusHandler extends SimpleChannelInboundHandler<FullHttpRequest> {

		private final Supplier<StatusResponse> responseSupplier;

		StatusHandler(Supplier<StatusResponse> responseSupplier) {
			this.responseSupplier = responseSupplier;
		}

		@Override
		protected void channelRead0(ChannelHandlerContext ctx, FullHttpRequest request) {
			StatusResponse statusResponse = this.responseSupplier.get();
			ByteBuf body = Unpooled.copiedBuffer(statusResponse.body(), StandardCharsets.UTF_8);
			DefaultFullHttpResponse response = new DefaultFullHttpResponse(HttpVersion.HTTP_1_1,
					statusResponse.status(), body);
			response.headers().set(HttpHeaderNames.CONTENT_LENGTH, body.readableBytes());
			ChannelFuture written = ctx.writeAndFlush(response);
			if (!HttpUtil.isKeepAlive(request)) {
				written.addListener(ChannelFutureListener.CLOSE);
			}
		}

		@Override
		public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
			ctx.close();
		}

	}

}
