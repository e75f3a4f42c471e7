package org.comfreyslip.entry.http;

import java.util.List;

import io.netty.buffer.ByteBuf;
import io.netty.channel.ChannelHandlerContext;
import io.netty.handler.codec.DecoderException;
import io.netty.handler.codec.http.HttpDecoderConfig;
import io.netty.handler.codec.http.HttpMessage;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpResponseDecoder;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.LastHttpContent;
import io.netty.util.ReferenceCountUtil;

/**
 * Decodes the responses on a connection to an endpoint, and knows of bytes that belong to
 * none of them. Heads and the framing of chunks are validated.
 */
final class ResponseDecoder extends HttpResponseDecoder {

	private static final int MAX_INITIAL_LINE_BYTES = 4_096;

	private static final int MAX_HEADER_BYTES = 65_536;

	private static final int MAX_CHUNK_BYTES = 16_384;

	private final EndpointConnection connection;

	/** Framing of the head or body that is being received. */
	private ResponseFraming framing = new HeadFraming();

	/** Whether the current request has the method HEAD. */
	private boolean respondsToHead;

	/**
	 * Creates the decoder of a connection.
	 * @param connection told of bytes that arrive while it awaits none
	 */
	ResponseDecoder(EndpointConnection connection) {
		super(new HttpDecoderConfig().setMaxInitialLineLength(MAX_INITIAL_LINE_BYTES)
			.setMaxHeaderSize(MAX_HEADER_BYTES)
			.setMaxChunkSize(MAX_CHUNK_BYTES));
		this.connection = connection;
	}

	/**
	 * Sets what the response that follows answers.
	 * @param method method of the request
	 */
	void expectResponseTo(HttpMethod method) {
		this.respondsToHead = method.equals(HttpMethod.HEAD);
	}

	/**
	 * Returns how many bytes have been received but not decoded.
	 * @return the number of bytes
	 */
	int undecodedBytes() {
		return actualReadableBytes();
	}

	@Override
	public void channelRead(ChannelHandlerContext ctx, Object message) throws Exception {
		if (message instanceof ByteBuf bytes && !this.connection.awaitsResponse()) {
			this.connection.onStrayBytes(StrayBytes.WHILE_IDLE, bytes.readableBytes());
			bytes.release();
			return;
		}
		super.channelRead(ctx, message);
	}

	@Override
	protected void decode(ChannelHandlerContext ctx, ByteBuf in, List<Object> out) throws Exception {
		int start = in.readerIndex();
		super.decode(ctx, in, out);
		if (!this.framing.accepts(in, start, in.readerIndex())) {
			out.forEach(ReferenceCountUtil::release);
			out.clear();
			throw new DecoderException("the framing of the response is invalid");
		}
		for (Object message : out) {
			if (message instanceof HttpResponse head) {
				this.framing = (HttpUtil.isTransferEncodingChunked(head)) ? new ChunkFraming() : ResponseFraming.ANY;
			}
			if (message instanceof LastHttpContent) {
				this.framing = new HeadFraming();
			}
		}
	}

	@Override
	protected boolean isContentAlwaysEmpty(HttpMessage message) {
		return this.respondsToHead || super.isContentAlwaysEmpty(message);
	}

}
