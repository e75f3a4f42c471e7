package org.comfreyslip.entry.peer;

import java.net.InetSocketAddress;
import java.util.function.BiConsumer;
import java.util.function.Consumer;

import io.netty.bootstrap.Bootstrap;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoop;
import io.netty.channel.FixedRecvByteBufAllocator;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.channel.socket.DatagramPacket;
import io.netty.channel.socket.nio.NioDatagramChannel;
import org.comfreyslip.entry.EntryEvent;
import org.comfreyslip.entry.EntryLog;
import org.comfreyslip.entry.blame.CrashNotice;
import org.comfreyslip.entry.duty.DutyNotice;

/**
 * UDP socket for the messages between daemons. Datagrams that are not messages are
 * ignored.
 */
public final class PeerSocket {

	/**
	 * Size of the receive buffer, in bytes: the largest UDP datagram. A datagram that
	 * does not fit is cut off and lost.
	 */
	private static final int RECEIVE_BUFFER_BYTES = 65_535;

	/** Largest number of datagrams that are read at a time. */
	private static final int DATAGRAMS_PER_READ = 64;

	private final Channel channel;

	/**
	 * Opens the socket.
	 * @param loop the event loop that runs the socket and the callback
	 * @param address local address of the socket
	 * @param onMessage receives each message with the address of its sender
	 * @param onRelay receives the registrations that other daemons pass on
	 * @param onCrashNotice receives what other daemons tell of crashes
	 * @param onDutyNotice receives what the holder of the placement duty tells its
	 * standbys
	 */
	public PeerSocket(EventLoop loop, InetSocketAddress address, BiConsumer<PeerMessage, InetSocketAddress> onMessage,
			Consumer<RegistrationRelay> onRelay, Consumer<CrashNotice> onCrashNotice,
			Consumer<DutyNotice> onDutyNotice) {
		this.channel = new Bootstrap().group(loop)
			.channel(NioDatagramChannel.class)
			.option(ChannelOption.RCVBUF_ALLOCATOR,
					new FixedRecvByteBufAllocator(RECEIVE_BUFFER_BYTES).maxMessagesPerRead(DATAGRAMS_PER_READ))
			.option(ChannelOption.AUTO_READ, false)
			.handler(new SimpleChannelInboundHandler<DatagramPacket>() {
				@Override
				public void channelReadComplete(ChannelHandlerContext ctx) {
					ctx.channel().config().setAutoRead(false);
				}

				@Override
				protected void channelRead0(ChannelHandlerContext ctx, DatagramPacket packet) {
					byte[] bytes = new byte[packet.content().readableBytes()];
					packet.content().readBytes(bytes);
					PeerMessage.decode(bytes)
						.ifPresentOrElse((message) -> onMessage.accept(message, packet.sender()),
								() -> RegistrationRelay.decode(bytes)
									.ifPresentOrElse(onRelay,
											() -> CrashNoticeCodec.decode(bytes)
												.ifPresentOrElse(onCrashNotice,
														() -> DutyNotice.decode(bytes).ifPresent(onDutyNotice))));
				}

				@Override
				public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
					EntryLog.write(EntryEvent.TASK_FAILED, "peer datagram", "cause", cause);
				}
			})
			.bind(address)
			.channel();
	}

	/**
	 * Reads the datagrams that have arrived. The process is not woken for each of them,
	 * which would take most of the processor time of a daemon with many others.
	 */
	public void read() {
		this.channel.config().setAutoRead(true);
	}

	/**
	 * Sends a datagram. It may be lost, and is dropped while the socket is not open.
	 * @param datagram the encoded message, which must not be changed afterwards
	 * @param to address of the receiving daemon
	 */
	public void send(byte[] datagram, InetSocketAddress to) {
		if (this.channel.isActive()) {
			this.channel.writeAndFlush(new DatagramPacket(Unpooled.wrappedBuffer(datagram), to));
		}
	}

}
