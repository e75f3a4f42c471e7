package org.comfreyslip.entry.http;

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
import io.netty.channel.EventLoop;
import io.netty.channel.socket.nio.NioSocketChannel;
import org.comfreyslip.entry.model.Endpoint;

/**
 * Keeps an idle connection to each endpoint that streams run through, to detect at once
 * that its process has ended: the connection is reset and a new one is refused. Only the
 * first endpoint of a path has a connection for the stream itself, and engines report a
 * stall only some hundred ms later.
 */
final class EndpointMonitor {

	/**
	 * Time for which an endpoint is monitored after the last send of a stream through it,
	 * in ns.
	 */
	private static final long UNUSED_TIMEOUT_NANOS = TimeUnit.SECONDS.toNanos(10);

	/**
	 * Longest wait for a connection, in ms. A timeout is not taken as a failure of the
	 * endpoint, since packets may be lost.
	 */
	private static final int CONNECT_TIMEOUT_MS = 500;

	/** Backoff before another attempt to open a connection, in ns. */
	private static final long RECONNECT_BACKOFF_NANOS = TimeUnit.SECONDS.toNanos(1);

	private final Bootstrap bootstrap;

	private final BiConsumer<Endpoint, Long> onRefused;

	private final Map<String, MonitoredEndpoint> monitored = new HashMap<>();

	/**
	 * Creates a monitor without endpoints.
	 * @param loop the event loop
	 * @param onRefused takes an endpoint that refuses connections, and the current steady
	 * time in ns
	 */
	EndpointMonitor(EventLoop loop, BiConsumer<Endpoint, Long> onRefused) {
		this.onRefused = onRefused;
		this.bootstrap = new Bootstrap().group(loop)
			.channel(NioSocketChannel.class)
			.option(ChannelOption.CONNECT_TIMEOUT_MILLIS, CONNECT_TIMEOUT_MS);
	}

	// Called for each stage of a path when a stream is sent over it.
	void monitor(Endpoint endpoint, long nowNanos) {
		MonitoredEndpoint current = this.monitored.get(endpoint.id());
		if (current != null && current.endpoint.isSameIncarnation(endpoint)
				&& current.endpoint.address().equals(endpoint.address())) {
			current.lastUsedNanos = nowNanos;
			return;
		}
		if (current != null) {
			current.close();
		}
		MonitoredEndpoint added = new MonitoredEndpoint(endpoint, nowNanos);
		this.monitored.put(endpoint.id(), added);
		connect(added, nowNanos);
	}

	// Opens a connection to an endpoint and closes it again, to find out whether its
	// process has ended. Endpoints of plain services are not monitored, since each
	// connection takes one of few.
	void checkOnce(Endpoint endpoint) {
		this.bootstrap.clone()
			.handler(new ChannelInboundHandlerAdapter())
			.connect(endpoint.address())
			.addListener((ChannelFuture connected) -> {
				if (connected.isSuccess()) {
					connected.channel().close();
				}
				else if (ConnectFailure.of(connected.cause()) == ConnectFailure.REFUSED) {
					this.onRefused.accept(endpoint, System.nanoTime());
				}
			});
	}

	// Closes connections that are no longer needed, and reopens lost ones.
	void updateConnections(long nowNanos) {
		this.monitored.values().removeIf((target) -> {
			boolean unused = nowNanos - target.lastUsedNanos > UNUSED_TIMEOUT_NANOS;
			if (unused) {
				target.close();
			}
			return unused;
		});
		for (MonitoredEndpoint target : this.monitored.values()) {
			if (target.channel == null && nowNanos - target.lastConnectNanos > RECONNECT_BACKOFF_NANOS) {
				connect(target, nowNanos);
			}
		}
	}

	// Ends the monitoring of the endpoints of a service that is out of reach. It begins
	// again with the streams, so that not all connections are opened at the same moment.
	void forget(String service) {
		this.monitored.values().removeIf((target) -> {
			boolean matches = target.endpoint.service().equals(service);
			if (matches) {
				target.close();
			}
			return matches;
		});
	}

	private void connect(MonitoredEndpoint target, long nowNanos) {
		target.lastConnectNanos = nowNanos;
		target.channel = this.bootstrap.clone().handler(new ChannelInboundHandlerAdapter() {
			@Override
			public void channelInactive(ChannelHandlerContext ctx) {
				onClosed(target, ctx.channel());
			}

			@Override
			public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
				ctx.close();
			}
		}).connect(target.endpoint.address()).addListener((ChannelFuture connected) -> {
			if (!connected.isSuccess() && target.channel == connected.channel()) {
				target.channel = null;
				if (ConnectFailure.of(connected.cause()) == ConnectFailure.REFUSED) {
					this.onRefused.accept(target.endpoint, System.nanoTime());
				}
			}
		}).channel();
	}

	// An endpoint also closes idle connections, so only a refused new connection shows
	// that its process has ended.
	private void onClosed(MonitoredEndpoint target, Channel closed) {
		if (target.channel == closed && this.monitored.get(target.endpoint.id()) == target) {
			connect(target, System.nanoTime());
		}
	}

	private static final class MonitoredEndpoint {

		private final Endpoint endpoint;

		/** The connection, open or being opened; null if the last attempt failed. */
		private Channel channel;

		/** Steady time in ns of the last send of a stream through the endpoint. */
		private long lastUsedNanos;

		/** Steady time in ns of the last attempt to connect. */
		private long lastConnectNanos;

		MonitoredEndpoint(Endpoint endpoint, long lastUsedNanos) {
			this.endpoint = endpoint;
			this.lastUsedNanos = lastUsedNanos;
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
