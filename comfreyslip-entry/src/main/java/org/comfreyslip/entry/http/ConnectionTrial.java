package org.comfreyslip.entry.http;

import java.net.InetSocketAddress;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;

import io.netty.bootstrap.Bootstrap;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoop;
import io.netty.channel.socket.nio.NioSocketChannel;

/**
 * Opens connections that carry no request, to find out whether endpoints can be reached.
 */
final class ConnectionTrial {

	/**
	 * Longest wait for a connection, in ms; the one for a connection that carries a
	 * request.
	 */
	private static final int CONNECT_TIMEOUT_MS = 300;

	/**
	 * Time for which a connection must stay open, in ms: some links reset connections
	 * just after they were opened.
	 */
	private static final long STAY_OPEN_MS = 50;

	private final EventLoop loop;

	private final Bootstrap bootstrap;

	ConnectionTrial(EventLoop loop) {
		this.loop = loop;
		this.bootstrap = new Bootstrap().group(loop)
			.channel(NioSocketChannel.class)
			.option(ChannelOption.CONNECT_TIMEOUT_MILLIS, CONNECT_TIMEOUT_MS);
	}

	/**
	 * Starts a trial.
	 * @param address address of the endpoint
	 * @param onOpened called as soon as the connection is open
	 * @param done takes whether the connection opened and stayed open
	 */
	void start(InetSocketAddress address, Runnable onOpened, Consumer<Boolean> done) {
		this.bootstrap.clone().handler(new ChannelInboundHandlerAdapter() {
			@Override
			public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
				ctx.close();
			}
		}).connect(address).addListener((ChannelFuture connected) -> {
			if (connected.isSuccess()) {
				onOpened.run();
				this.loop.schedule(() -> finish(connected.channel(), done), STAY_OPEN_MS, TimeUnit.MILLISECONDS);
			}
			else {
				done.accept(false);
			}
		});
	}

	private static void finish(Channel channel, Consumer<Boolean> done) {
		boolean open = channel.isActive();
		channel.close();
		done.accept(open);
	}

}
