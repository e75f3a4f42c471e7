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
 * Makes Jooby's listeners bind their port exclusively, refuse requests of ambiguous
 * length and honour {@code Connection: close} in each response. Jooby builds its channel
 * pipeline itself; Netty loads this class as a service and calls it for each listener and
 * each accepted connection.
 */
public final class StrictListenerExtension extends ChannelInitializerExtension {

	/**
	 * Limit of the request line, and of all header lines together, in bytes. Equals
	 * Netty's default for header lines.
	 */
	public static final int MAX_HEADER_BYTES = 8_192;

	/** Value of {@link #EXTENSIONS_SYSTEM_PROPERTY} that lets Netty load this class. */
	private static final String LOAD_AS_SERVICE = "serviceload";

	private static final String CODEC = "codec";

	/**
	 * Makes Netty load the extension. Has no effect once the first server has started.
	 */
	public static void enable() {
		System.setProperty(EXTENSIONS_SYSTEM_PROPERTY, LOAD_AS_SERVICE);
	}

	// Jooby's native transport sets SO_REUSEPORT. With it, a second daemon with the same
	// address would start and receive some of the connections.
	@Override
	public void postInitializeServerListenerChannel(ServerChannel listener) {
		if (listener instanceof EpollServerSocketChannel epoll) {
			epoll.config().setReusePort(false);
		}
	}

	@Override
	public void postInitializeServerChildChannel(Channel child) {
		// Runs after Jooby's own initializer, which was added before.
		child.pipeline().addLast(new ChannelInitializer<Channel>() {
			@Override
			protected void initChannel(Channel channel) {
				installStrictCodec(channel.pipeline());
			}
		});
	}

	private static void installStrictCodec(ChannelPipeline pipeline) {
		if (pipeline.get(CODEC) instanceof HttpServerCodec) {
			pipeline.replace(CODEC, CODEC, new StrictServerCodec(MAX_HEADER_BYTES));
			pipeline.addAfter(CODEC, null, new UndecodableRequestHandler());
			pipeline.addAfter(CODEC, null, new HttpServerKeepAliveHandler());
		}
	}

}
