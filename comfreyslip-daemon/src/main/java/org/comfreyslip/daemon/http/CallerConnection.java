package org.comfreyslip.daemon.http;

import java.lang.reflect.Field;

import io.jooby.Context;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFutureListener;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.CombinedChannelDuplexHandler;
import io.netty.handler.codec.http.HttpObjectDecoder;
import io.netty.handler.codec.http.HttpRequest;

/**
 * State of a caller's connection that Jooby does not offer: when it closes, before a
 * write fails, and whether Netty could decode the request. Fields of Jooby's Netty
 * context are read by reflection for it.
 */
final class CallerConnection {

	private static final String CHANNEL = "ctx";

	private static final String REQUEST = "req";

	private static final String DECODER_STATE = "currentState";

	private static final String CODEC = "codec";

	private static final String INBOUND = "inboundHandler";

	private static final String BAD_MESSAGE = "BAD_MESSAGE";

	private CallerConnection() {
	}

	/**
	 * Calls an action when the connection closes, also after the response was sent.
	 * @param context the HTTP request
	 * @param action the action
	 */
	static void onClose(Context context, Runnable action) {
		channel(context).closeFuture().addListener((future) -> action.run());
	}

	/**
	 * Closes a caller's connection because its response cannot be completed.
	 * @param context the HTTP request
	 */
	static void close(Context context) {
		channel(context).close();
	}

	/**
	 * Closes a caller's connection behind the response that was just sent.
	 * @param context the HTTP request
	 */
	static void closeAfterResponse(Context context) {
		channel(context).writeAndFlush(Unpooled.EMPTY_BUFFER).addListener(ChannelFutureListener.CLOSE);
	}

	/**
	 * Returns whether Netty could not decode the request. Jooby passes such a request on
	 * without the headers after the fault, or with the part of a chunked body before it.
	 * @param context the HTTP request
	 * @return whether the request has to be refused
	 */
	static boolean isMalformed(Context context) {
		HttpRequest request = (HttpRequest) field(context.getClass(), REQUEST, context);
		if (request.decoderResult().isFailure()) {
			return true;
		}
		Object codec = channel(context).pipeline().get(CODEC);
		Object decoder = field(CombinedChannelDuplexHandler.class, INBOUND, codec);
		return BAD_MESSAGE.equals(String.valueOf(field(HttpObjectDecoder.class, DECODER_STATE, decoder)));
	}

	private static Channel channel(Context context) {
		return ((ChannelHandlerContext) field(context.getClass(), CHANNEL, context)).channel();
	}

	private static Object field(Class<?> type, String name, Object owner) {
		try {
			Field field = type.getDeclaredField(name);
			field.setAccessible(true);
			return field.get(owner);
		}
		catch (ReflectiveOperationException ex) {
			throw new IllegalStateException("this Jooby or Netty version has no field " + name, ex);
		}
	}

}
