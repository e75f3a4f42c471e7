package org.comfreyslip.entry.http;

import java.net.ConnectException;
import java.util.HashMap;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import java.util.function.BiConsumer;

import io.netty.bootstrap.Bootstrap;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.ChannelOption;
import io.netty.channel.ConnectTimeoutException;
import io.netty.channel.EventLoop;
import io.netty.channel.socket.nio.NioSocketChannel;
import org.comfreyslip.entry.model.Endpoint;

/**
 * Keeps an idle connection to each endpoint that streams run through, so that the end of
 * its process shows at once: the connection is reset and a new one is refused. Only the
 * first endpoint of a path has a connection for the stream itself, and engines report a
 * stall some hundred ms later.
 */
final class EndpointWatch {

	/** Time for which an endpoint is watched after its last stream, in ns. */
	private static final long KEEP_NANOS = TimeUnit.SECONDS.toNanos(10);

	/**
	 * Longest wait for a connection, in ms; no answer says nothing here, since packets
	 * may be lost.
	 */
	private static final int CONNECT_TIMEOUT_MS = 500;

	/** Pause before a connection is opened again that could not be opened, in ns. */
	private static final long RETRY_NANOS = TimeUnit.SECONDS.toNanos(1);

	private final Bootstrap bootstrap;

	private final BiConsumer<Endpoint, Long> down;

	private final Map<String, Watched> watched = new HashMap<>();

	/**
	 * Creates the watch.
	 * @param loop the event loop
	 * @param down takes an endpoint that refuses connections, and the steady time in ns
	 */
	EndpointWatch(EventLoop loop, BiConsumer<Endpoint, Long> down) {
		this.down = down;
		this.bootstrap = new Bootstrap().group(loop)
			.channel(NioSocketChannel.class)
			.option(ChannelOption.CONNECT_TIMEOUT_MILLIS, CONNECT_TIMEOUT_MS);
	}

	// Called for each part of a path that a stream takes.
	void use(Endpoint endpoint, long nowNanos) {
		Watched old = this.watched.get(endpoint.id());
		if (old != null && old.endpoint.isSameIncarnation(endpoint)
				&& old.endpoint.address().equals(endpoint.address())) {
			old.usedNanos = nowNanos;
			return;
		}
		if (old != null) {
			old.close();
		}
		Watched fresh = new Watched(endpoint, nowNanos);
		this.watched.put(endpoint.id(), fresh);
		connect(fresh, nowNanos);
	}

	// Closes connections that are no longer needed, and opens lost ones again.
	void tick(long nowNanos) {
		this.watched.values().removeIf((one) -> {
			boolean unused = nowNanos - one.usedNanos > KEEP_NANOS;
			if (unused) {
				one.close();
			}
			return unused;
		});
		for (Watched one : this.watched.values()) {
			if (one.channel == null && nowNanos - one.triedNanos > RETRY_NANOS) {
				connect(one, nowNanos);
			}
		}
	}

	private void connect(Watched one, long nowNanos) {
		one.triedNanos = nowNanos;
		one.channel = this.bootstrap.clone().handler(new ChannelInboundHandlerAdapter() {
			@Override
			public void channelInactive(ChannelHandlerContext ctx) {
				onClosed(one, ctx.channel());
			}

			@Override
			public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
				ctx.close();
			}
		}).connect(one.endpoint.address()).addListener((ChannelFuture done) -> {
			if (!done.isSuccess() && one.channel == done.channel()) {
				one.channel = null;
				if (done.cause() instanceof ConnectException && !(done.cause() instanceof ConnectTimeoutException)) {
					this.down.accept(one.endpoint, System.nanoTime());
				}
			}
		}).channel();
	}

	// An endpoint also closes idle connections, so only a refused connection says that it
	// is down.
	private void onClosed(Watched one, Channel closed) {
		if (one.channel == closed && this.watched.get(one.endpoint.id()) == one) {
			connect(one, System.nanoTime());
		}
	}

	private static final class Watched {

		private final Endpoint endpoint;

		private Channel channel;

		private long usedNanos;

		private long triedNanos;

		Watched(Endpoint endpoint, long usedNanos) {
			this.endpoint = endpoint;
			this.usedNanos = usedNanos;
		}

		void close() {
			Channel open = this.channel;
			this.channel = null;
			if (open != null) {
				open.close();
			}
		}

	}

}
