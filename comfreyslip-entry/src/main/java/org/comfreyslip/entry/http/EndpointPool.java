package org.comfreyslip.entry.http;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;

import io.netty.bootstrap.Bootstrap;
import io.netty.channel.Channel;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoop;
import io.netty.channel.socket.nio.NioSocketChannel;
import io.netty.handler.codec.http.DefaultHttpHeadersFactory;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.HttpClientCodec;
import io.netty.handler.codec.http.HttpDecoderConfig;
import org.comfreyslip.entry.model.Endpoint;

/**
 * Connections to endpoints, kept for reuse by incarnation of the endpoint.
 */
final class EndpointPool {

	/**
	 * Longest wait for a connection, in ms: many round trips, but less than TCP's repeat
	 * of a lost packet.
	 */
	private static final int CONNECT_TIMEOUT_MS = 300;

	/**
	 * A request that may run only once takes a kept connection only if it was used this
	 * recently, in ns.
	 */
	private static final long SURE_NANOS = TimeUnit.MILLISECONDS.toNanos(500);

	private static final int MAX_INITIAL_LINE = 4_096;

	private static final int MAX_HEADER = 65_536;

	private static final int MAX_CHUNK = 16_384;

	private final Bootstrap bootstrap;

	private final Wire wire;

	private final Map<String, Deque<EndpointConnection>> idle = new HashMap<>();

	EndpointPool(EventLoop loop, Wire wire) {
		this.wire = wire;
		this.bootstrap = new Bootstrap().group(loop)
			.channel(NioSocketChannel.class)
			.option(ChannelOption.CONNECT_TIMEOUT_MILLIS, CONNECT_TIMEOUT_MS)
			.option(ChannelOption.TCP_NODELAY, true);
	}

	private static HttpDecoderConfig decoding() {
		return new HttpDecoderConfig().setMaxInitialLineLength(MAX_INITIAL_LINE)
			.setMaxHeaderSize(MAX_HEADER)
			.setMaxChunkSize(MAX_CHUNK)
			.setHeadersFactory(DefaultHttpHeadersFactory.headersFactory().withValidation(false));
	}

	Wire wire() {
		return this.wire;
	}

	/**
	 * Sends a request.
	 * @param endpoint the endpoint
	 * @param request the request; its reference passes to the pool
	 * @param attemptId the attempt that the response must name
	 * @param once whether the request may run only once
	 * @param listener takes what happens
	 * @return the connection, for ending the request
	 */
	EndpointConnection send(Endpoint endpoint, FullHttpRequest request, String attemptId, boolean once,
			ReplyListener listener) {
		String key = endpoint.id() + "/" + endpoint.incarnationStartMs() + "/" + endpoint.address();
		EndpointConnection kept = takeIdle(key, once);
		if (kept != null) {
			kept.assign(listener, attemptId);
			kept.write(request);
			return kept;
		}
		EndpointConnection fresh = new EndpointConnection(this, key);
		fresh.assign(listener, attemptId);
		this.bootstrap.clone().handler(new ChannelInitializer<Channel>() {
			@Override
			protected void initChannel(Channel channel) {
				channel.pipeline().addLast(new HttpClientCodec(decoding(), false, false)).addLast(fresh);
			}
		}).connect(endpoint.address()).addListener((future) -> {
			if (!future.isSuccess()) {
				request.release();
				fresh.connectFailed();
			}
			else if (fresh.isAssigned()) {
				fresh.write(request);
			}
			else {
				request.release();
			}
		});
		return fresh;
	}

	private EndpointConnection takeIdle(String key, boolean once) {
		Deque<EndpointConnection> connections = this.idle.get(key);
		long now = System.nanoTime();
		while (connections != null && !connections.isEmpty()) {
			EndpointConnection connection = connections.pollLast();
			if (connection.isUsable(now) && !(once && connection.isIdleSince(SURE_NANOS, now))) {
				return connection;
			}
			connection.closeIdle();
		}
		return null;
	}

	void release(String key, EndpointConnection connection) {
		this.idle.computeIfAbsent(key, (name) -> new ArrayDeque<>()).addLast(connection);
	}

	void forget(String key, EndpointConnection connection) {
		Deque<EndpointConnection> connections = this.idle.get(key);
		if (connections != null) {
			connections.remove(connection);
			if (connections.isEmpty()) {
				this.idle.remove(key);
			}
		}
	}

	// Closes connections that were idle for too long.
	void closeStale(long nowNanos) {
		List<EndpointConnection> stale = new ArrayList<>();
		for (Deque<EndpointConnection> connections : this.idle.values()) {
			for (EndpointConnection connection : connections) {
				if (!connection.isUsable(nowNanos)) {
					stale.add(connection);
				}
			}
		}
		stale.forEach(EndpointConnection::closeIdle);
	}

}
