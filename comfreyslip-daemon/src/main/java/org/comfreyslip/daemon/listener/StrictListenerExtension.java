package org.comfreyslip.daemon.listener;

import io.netty.bootstrap.ChannelInitializerExtension;
import io.netty.channel.Channel;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelPipeline;
import io.netty.channel.ServerChannel;
import io.netty.channel.epoll.EpollServerSocketChannel;
import io.netty.handler.codec.http.HttpServerCodec;
import io.netty.handler.codec.http.HttpServerKeepAliveHandler;

/**
 * Makes Jooby's listeners take their port alone, refuse requests of ambiguous length and
 * honour {@code Connection: close} in each response. Jooby builds its pipeline itself;
 * Netty loads this class as a service and calls it for each accepted connection.
 */
public final class StrictListenerExtension extends ChannelInitializerExtension {

	/**
	 * Largest first line, and largest sum of the header lines, in bytes. Netty's default
	 * for header lines.
	 */
	public static final int MAX_HEADER_BYTES = 8_192;

	/** Value of {@link #EXTENSIONS_SYSTEM_PROPERTY} that lets Netty load this class. */
	private static final String LOADED = "serviceload";

	private static final String CODEC = "codec";

	/** Lets Netty load the extension; has an effect before the first server starts. */
	public static void enable() {
		System.setProperty(EXTENSIONS_SYSTEM_PROPERTY, LOADED);
	}

	// Jooby's native transport sets SO_REUSEPORT. A second daemon with the same address
	// would start and get a part of the connections.
	@Override
	public void postInitializeServerListenerChannel(ServerChannel listener) {
		if (listener instanceof EpollServerSocketChannel epoll) {
			epoll.config().setReusePort(false);
		}
	}

	@Override
	public void postInitializeServerChildChannel(Channel child) {
		// Runs behind Jooby's own initializer, which was added before.
		child.pipeline().addLast(new ChannelInitializer<Channel>() {
			@Override
			protected void initChannel(Channel channel) {
				harden(channel.pipeline());
			}
		});
	}

	private static void harden(ChannelPipeline pipeline) {
		if (pipeline.get(CODEC) instanceof HttpServerCodec) {
			pipeline.replace(CODEC, CODEC, new StrictServerCodec(MAX_HEADER_BYTES));
			pipeline.addAfter(CODEC, null, new UndecodableRequestHandler());
			pipeline.addAfter(CODEC, null, new HttpServerKeepAliveHandler());
		}
	}

}
