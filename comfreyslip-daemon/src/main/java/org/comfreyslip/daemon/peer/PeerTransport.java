package org.comfreyslip.daemon.peer;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.TimeUnit;

import io.grpc.BindableService;
import io.grpc.ManagedChannel;
import io.grpc.Server;
import io.grpc.netty.shaded.io.grpc.netty.NettyChannelBuilder;
import io.grpc.netty.shaded.io.grpc.netty.NettyServerBuilder;
import io.grpc.netty.shaded.io.netty.channel.EventLoopGroup;
import io.grpc.netty.shaded.io.netty.channel.nio.NioEventLoopGroup;
import io.grpc.netty.shaded.io.netty.channel.socket.nio.NioServerSocketChannel;
import io.grpc.netty.shaded.io.netty.channel.socket.nio.NioSocketChannel;

/**
 * The daemon's gRPC server and its channels to peers, on threads of their own, so that a
 * daemon that is busy with requests still exchanges heartbeats.
 */
final class PeerTransport implements AutoCloseable {

	private static final int IO_THREADS = 1;

	private static final int CALL_THREADS = 2;

	/** Most peers are called again only after minutes in a large deployment. */
	private static final long IDLE_SECONDS = 60;

	private static final long STOP_MILLIS = 500;

	private final EventLoopGroup io = new NioEventLoopGroup(IO_THREADS, new PeerThreads("peer-io"));

	private final ExecutorService calls = Executors.newFixedThreadPool(CALL_THREADS, new PeerThreads("peer"));

	private final Map<String, ManagedChannel> channels = new ConcurrentHashMap<>();

	private final PeerTraffic traffic = new PeerTraffic();

	private final Server server;

	PeerTransport(String listen, BindableService service) {
		this.server = NettyServerBuilder.forAddress(PeerAddress.toSocket(listen))
			.bossEventLoopGroup(this.io)
			.workerEventLoopGroup(this.io)
			.channelType(NioServerSocketChannel.class)
			.executor(this.calls)
			.maxInboundMessageSize(PeerLimits.EXCHANGE_BYTES)
			.addStreamTracerFactory(this.traffic.server())
			.addService(service)
			.build();
		try {
			this.server.start();
		}
		catch (IOException ex) {
			close();
			throw new UncheckedIOException("cannot listen at " + listen + " for other daemons", ex);
		}
	}

	int port() {
		return this.server.getPort();
	}

	PeerTraffic traffic() {
		return this.traffic;
	}

	ManagedChannel channel(String address) {
		return this.channels.computeIfAbsent(address, this::connect);
	}

	/**
	 * Closes the channels to other addresses. Daemons are replaced all the time, and each
	 * run has a new address.
	 * @param addresses the addresses in use
	 */
	void retain(Set<String> addresses) {
		for (String address : this.channels.keySet()) {
			if (!addresses.contains(address)) {
				this.channels.remove(address).shutdown();
			}
		}
	}

	@Override
	public void close() {
		this.server.shutdownNow();
		this.channels.values().forEach(ManagedChannel::shutdownNow);
		this.calls.shutdown();
		this.io.shutdownGracefully(0, STOP_MILLIS, TimeUnit.MILLISECONDS);
	}

	private ManagedChannel connect(String address) {
		return NettyChannelBuilder.forAddress(PeerAddress.toSocket(address))
			.eventLoopGroup(this.io)
			.channelType(NioSocketChannel.class)
			.executor(this.calls)
			.usePlaintext()
			.intercept(this.traffic.client())
			.disableRetry()
			.idleTimeout(IDLE_SECONDS, TimeUnit.SECONDS)
			.build();
	}

}
