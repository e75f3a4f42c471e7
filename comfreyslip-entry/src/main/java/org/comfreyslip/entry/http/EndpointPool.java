package org.comfreyslip.entry.http;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import java.util.function.Function;

import io.netty.bootstrap.Bootstrap;
import io.netty.channel.Channel;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoop;
import io.netty.channel.socket.nio.NioSocketChannel;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.HttpRequestEncoder;
import io.netty.handler.codec.http.HttpResponse;

/**
 * Pool of connections to endpoints or to other daemons. Idle connections are reused only
 * for the same incarnation and address.
 */
final class EndpointPool {

	/**
	 * Longest wait for a connection, in ms: many round trips, but less than the time
	 * after which TCP repeats a lost opening packet.
	 */
	private static final int CONNECT_TIMEOUT_MS = 300;

	/**
	 * Idle time up to which a connection is reused for a non-idempotent request, in ns.
	 */
	private static final long MAX_NON_IDEMPOTENT_IDLE_NANOS = TimeUnit.MILLISECONDS.toNanos(500);

	private final Bootstrap bootstrap;

	private final Function<HttpResponse, HeaderTranslator.ResponseFields> responseReader;

	private final ConnectionObserver observer;

	/** Idle connections by pool key, the most recently used one last. */
	private final Map<String, Deque<EndpointConnection>> idleConnections = new HashMap<>();

	EndpointPool(EventLoop loop, Function<HttpResponse, HeaderTranslator.ResponseFields> responseReader,
			ConnectionObserver observer) {
		this.responseReader = responseReader;
		this.observer = observer;
		this.bootstrap = new Bootstrap().group(loop)
			.channel(NioSocketChannel.class)
			.option(ChannelOption.CONNECT_TIMEOUT_MILLIS, CONNECT_TIMEOUT_MS)
			.option(ChannelOption.TCP_NODELAY, true);
	}

	HeaderTranslator.ResponseFields readResponse(HttpResponse head) {
		return this.responseReader.apply(head);
	}

	ConnectionObserver observer() {
		return this.observer;
	}

	/**
	 * Sends a request over an idle connection or a new one.
	 * @param target where the request is sent
	 * @param request the request; its reference passes to the pool
	 * @param attemptId identity of the attempt that the response must carry
	 * @param nonIdempotent whether the request may run only once, so that only a recently
	 * used connection is reused
	 * @param listener receives the events of this send
	 * @return the connection that carries the request, by which it can be aborted
	 */
	EndpointConnection send(ConnectionTarget target, FullHttpRequest request, String attemptId, boolean nonIdempotent,
			ResponseListener listener) {
		EndpointConnection idle = takeIdle(target.poolKey(), attemptId, nonIdempotent, listener);
		if (idle != null) {
			idle.assignRequest(listener, attemptId);
			idle.writeRequest(request);
			return idle;
		}
		EndpointConnection created = new EndpointConnection(this, target);
		created.assignRequest(listener, attemptId);
		this.bootstrap.clone().handler(new ChannelInitializer<Channel>() {
			@Override
			protected void initChannel(Channel channel) {
				channel.pipeline().addLast(created.decoder(), new HttpRequestEncoder(), created);
			}
		}).connect(target.address()).addListener((future) -> {
			if (!future.isSuccess()) {
				request.release();
				created.onConnectFailed(ConnectFailure.of(future.cause()));
			}
			else if (created.isAssigned()) {
				created.writeRequest(request);
			}
			else {
				request.release();
			}
		});
		return created;
	}

	// Takes the most recently used connection that is usable, and closes the others that
	// it meets; returns null if there is none.
	private EndpointConnection takeIdle(String poolKey, String attemptId, boolean nonIdempotent,
			ResponseListener listener) {
		Deque<EndpointConnection> connections = this.idleConnections.get(poolKey);
		long now = System.nanoTime();
		while (connections != null && !connections.isEmpty()) {
			EndpointConnection connection = connections.pollLast();
			if (connection.isUsable(now) && !connection.hasCarried(attemptId) && !listener.hasUsed(connection)
					&& !(nonIdempotent && connection.hasBeenIdleFor(MAX_NON_IDEMPOTENT_IDLE_NANOS, now))) {
				return connection;
			}
			connection.closeIdle();
		}
		return null;
	}

	void release(String poolKey, EndpointConnection connection) {
		this.idleConnections.computeIfAbsent(poolKey, (name) -> new ArrayDeque<>()).addLast(connection);
	}

	void remove(String poolKey, EndpointConnection connection) {
		Deque<EndpointConnection> connections = this.idleConnections.get(poolKey);
		if (connections != null) {
			connections.remove(connection);
			if (connections.isEmpty()) {
				this.idleConnections.remove(poolKey);
			}
		}
	}

	// Closes idle connections that were closed by the endpoint or were idle for too long.
	void closeExpired(long nowNanos) {
		List<EndpointConnection> expired = new ArrayList<>();
		for (Deque<EndpointConnection> connections : this.idleConnections.values()) {
			for (EndpointConnection connection : connections) {
				if (!connection.isUsable(nowNanos)) {
					expired.add(connection);
				}
			}
		}
		expired.forEach(EndpointConnection::closeIdle);
	}

}
