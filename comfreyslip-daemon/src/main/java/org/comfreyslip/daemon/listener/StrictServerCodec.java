package org.comfreyslip.daemon.listener;

import java.util.ArrayDeque;
import java.util.List;
import java.util.Queue;

import io.netty.buffer.ByteBuf;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.CombinedChannelDuplexHandler;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpRequestDecoder;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpResponseEncoder;
import org.comfreyslip.entry.http.StrictRequestDecoder;

/**
 * HTTP server codec whose decoder refuses requests of ambiguous length. Replaces Netty's
 * codec, which is final and does not accept another decoder.
 */
final class StrictServerCodec extends CombinedChannelDuplexHandler<HttpRequestDecoder, HttpResponseEncoder> {

	/** Methods of the requests without a final response yet, in the order of arrival. */
	private final Queue<HttpMethod> pendingMethods = new ArrayDeque<>();

	StrictServerCodec(int maxHeaderBytes) {
		init(new Decoder(maxHeaderBytes), new Encoder());
	}

	private final class Decoder extends StrictRequestDecoder {

		Decoder(int maxHeaderBytes) {
			super(maxHeaderBytes);
		}

		@Override
		protected void decode(ChannelHandlerContext ctx, ByteBuf buffer, List<Object> out) throws Exception {
			int sizeBefore = out.size();
			super.decode(ctx, buffer, out);
			for (Object message : out.subList(sizeBefore, out.size())) {
				if (message instanceof HttpRequest request) {
					StrictServerCodec.this.pendingMethods.add(request.method());
				}
			}
		}

	}

	private final class Encoder extends HttpResponseEncoder {

		@Override
		protected boolean isContentAlwaysEmpty(HttpResponse response) {
			// After an interim response (1xx) the request still has no final response.
			HttpMethod method = (response.status().code() / 100 == 1) ? null
					: StrictServerCodec.this.pendingMethods.poll();
			return HttpMethod.HEAD.equals(method) || super.isContentAlwaysEmpty(response);
		}

	}

}
