package org.comfreyslip.daemon.listener;

import io.netty.buffer.Unpooled;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.handler.codec.http.DefaultFullHttpRequest;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.util.ReferenceCountUtil;

/**
 * Replaces a request that cannot be decoded by one without headers and body that carries
 * the decoding failure. Netty emits only the head of a request whose lengths contradict
 * each other, and Jooby would wait for the body forever.
 */
final class UndecodableRequestHandler extends ChannelInboundHandlerAdapter {

	/** Path that no route has. Netty uses it for requests whose first line is invalid. */
	private static final String UNROUTED_PATH = "/bad-request";

	@Override
	public void channelRead(ChannelHandlerContext ctx, Object message) {
		if (!(message instanceof HttpRequest request) || request.decoderResult().isSuccess()) {
			ctx.fireChannelRead(message);
			return;
		}
		DefaultFullHttpRequest replacement = new DefaultFullHttpRequest(HttpVersion.HTTP_1_0, HttpMethod.GET,
				UNROUTED_PATH, Unpooled.EMPTY_BUFFER);
		replacement.setDecoderResult(request.decoderResult());
		ReferenceCountUtil.release(message);
		ctx.fireChannelRead(replacement);
	}

}
