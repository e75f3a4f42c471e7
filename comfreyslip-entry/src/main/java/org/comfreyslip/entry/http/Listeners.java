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
import org.comfreyslip.entry.EntryMetrics;

/**
 * Opens the daemon's listeners.
 */
public final class Listeners {

	/**
	 * Connections that may wait to be accepted; a full queue drops the opening packet for
	 * seconds.
	 */
	private static final int BACKLOG = 1_024;

	/**
	 * Unsent bytes of one response at which reading from the endpoint stops, and goes on.
	 */
	private static final WriteBufferWaterMark WATER_MARK = new WriteBufferWaterMark(32 << 10, 128 << 10);

	/** Largest request for readiness or metrics, in bytes. */
	private static final int MAX_QUESTION = 8_192;

	private Listeners() {
	}

	/**
	 * Listens for callers.
	 * @param loop the event loop
	 * @param address where to listen
	 * @param router serves the requests
	 * @return the pending bind
	 */
	public static ChannelFuture callers(EventLoop loop, InetSocketAddress address, Router router) {
		return bootstrap(loop).childOption(ChannelOption.WRITE_BUFFER_WATER_MARK, WATER_MARK)
			.childHandler(new ChannelInitializer<Channel>() {
				@Override
				protected void initChannel(Channel channel) {
					CallerConnection connection = new CallerConnection(router);
					channel.pipeline()
						.addLast(new ByteWatch(connection))
						.addLast(new StrictRequestDecoder(router.limits().maxHeaderBytes()))
						.addLast(new HttpResponseEncoder())
						.addLast(connection);
				}
			})
			.bind(address);
	}

	/**
	 * Listens for the question whether the daemon is ready.
	 * @param loop the event loop
	 * @param address where to listen
	 * @param ready answers the question
	 * @return the pending bind
	 */
	public static ChannelFuture readiness(EventLoop loop, InetSocketAddress address, BooleanSupplier ready) {
		return answering(loop, address, () -> new Answer(
				(ready.getAsBoolean()) ? HttpResponseStatus.OK : HttpResponseStatus.SERVICE_UNAVAILABLE, ""));
	}

	private static ChannelFuture answering(EventLoop loop, InetSocketAddress address, Supplier<Answer> answers) {
		return bootstrap(loop).childHandler(new ChannelInitializer<Channel>() {
			@Override
			protected void initChannel(Channel channel) {
				channel.pipeline()
					.addLast(new HttpServerCodec())
					.addLast(new HttpObjectAggregator(MAX_QUESTION))
					.addLast(new Answering(answers));
			}
		}).bind(address);
	}

	/**
	 * Listens for readers of the metrics.
	 * @param loop the event loop
	 * @param address where to listen
	 * @param metrics the metrics
	 * @return the pending bind
	 */
	public static ChannelFuture metrics(EventLoop loop, InetSocketAddress address, EntryMetrics metrics) {
		return answering(loop, address, () -> new Answer(HttpResponseStatus.OK, metrics.text()));
	}

	private static ServerBootstrap bootstrap(EventLoop loop) {
		return new ServerBootstrap().group(loop)
			.channel(NioServerSocketChannel.class)
			.option(ChannelOption.SO_BACKLOG, BACKLOG)
			.option(ChannelOption.SO_REUSEADDR, true)
			.childOption(ChannelOption.TCP_NODELAY, true)
			.childOption(ChannelOption.SO_KEEPALIVE, true);
	}

	private static final class ByteWatch extends ChannelInboundHandlerAdapter {

		private final CallerConnection connection;

		ByteWatch(CallerConnection connection) {
			this.connection = connection;
		}

		@Override
		public void channelRead(ChannelHandlerContext ctx, Object message) {
			this.connection.onBytes();
			ctx.fireChannelRead(message);
		}

	}

	private record Answer(HttpResponseStatus status, String body) {
	}

	private static final class Answering extends SimpleChannelInboundHandler<FullHttpRequest> {

		private final Supplier<Answer> answers;

		Answering(Supplier<Answer> answers) {
			this.answers = answers;
		}

		@Override
		protected void channelRead0(ChannelHandlerContext ctx, FullHttpRequest request) {
			Answer answer = this.answers.get();
			ByteBuf body = Unpooled.copiedBuffer(answer.body(), StandardCharsets.UTF_8);
			DefaultFullHttpResponse response = new DefaultFullHttpResponse(HttpVersion.HTTP_1_1, answer.status(), body);
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
