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
 * The daemon's gRPC server and its channels to peers, on separate threads, so that a
 * daemon that is busy with requests still exchanges heartbeats.
 */
final class PeerTransport implements AutoCloseable {

	private static final int IO_THREADS = 1;

	private static final int CALL_THREADS = 2;

	/** In a large deployment most peers are called again only after minutes. */
	private static final long IDLE_TIMEOUT_SECONDS = 60;

	private static final long STOP_TIMEOUT_MILLIS = 500;

	private final EventLoopGroup ioGroup = new NioEventLoopGroup(IO_THREADS, new PeerThreads("peer-io"));

	private final ExecutorService callExecutor = Executors.newFixedThreadPool(CALL_THREADS, new PeerThreads("peer"));

	private final Map<String, ManagedChannel> channels = new ConcurrentHashMap<>();

	private final PeerTraffic traffic = new PeerTraffic();

	private final Server server;

	PeerTransport(String listen, BindableService service) {
		this.server = NettyServerBuilder.forAddress(PeerAddress.toSocket(listen))
			.bossEventLoopGroup(this.ioGroup)
			.workerEventLoopGroup(this.ioGroup)
			.channelType(NioServerSocketChannel.class)
			.executor(this.callExecutor)
			.maxInboundMessageSize(PeerLimits.EXCHANGE_BYTES)
			.addStreamTracerFactory(this.traffic.serverTracerFactory())
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
	 * Closes the channels to other addresses. Daemons are replaced often, and each
	 * incarnation has a new address.
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
		this.callExecutor.shutdown();
		this.ioGroup.shutdownGracefully(0, STOP_TIMEOUT_MILLIS, TimeUnit.MILLISECONDS);
	}

	private ManagedChannel connect(String address) {
		return NettyChannelBuilder.forAddress(PeerAddress.toSocket(address))
			.eventLoopGroup(this.ioGroup)
			.channelType(NioSocketChannel.class)
			.executor(this.callExecutor)
			.usePlaintext()
			.intercept(this.traffic.clientInterceptor())
			.disableRetry()
			.idleTimeout(IDLE_TIMEOUT_SECONDS, TimeUnit.SECONDS)
			.build();
	}

}
