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
 * Access to the state of a caller's connection that Jooby's interface does not expose:
 * that the connection closed, before a write fails, and whether Netty could decode the
 * request. Reads fields of Jooby's Netty context and of Netty's codec by reflection.
 */
final class CallerConnection {

	private static final String CHANNEL_CONTEXT_FIELD = "ctx";

	private static final String REQUEST_FIELD = "req";

	private static final String DECODER_STATE_FIELD = "currentState";

	private static final String CODEC_HANDLER = "codec";

	private static final String INBOUND_HANDLER_FIELD = "inboundHandler";

	private static final String BAD_MESSAGE_STATE = "BAD_MESSAGE";

	private CallerConnection() {
	}

	/**
	 * Runs an action when the connection closes, also if the response was sent before.
	 * @param context the HTTP request
	 * @param action runs on the event loop of the connection
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
	 * Closes a caller's connection once the response that was just sent is written.
	 * @param context the HTTP request
	 */
	static void closeAfterResponse(Context context) {
		channel(context).writeAndFlush(Unpooled.EMPTY_BUFFER).addListener(ChannelFutureListener.CLOSE);
	}

	/**
	 * Returns whether Netty could not decode the request. Jooby passes such a request on
	 * without the headers after the fault, or with only the chunks of the body before it.
	 * @param context the HTTP request
	 * @return {@code true} if the request has to be refused
	 */
	static boolean isMalformed(Context context) {
		HttpRequest request = (HttpRequest) readField(context.getClass(), REQUEST_FIELD, context);
		if (request.decoderResult().isFailure()) {
			return true;
		}
		Object codec = channel(context).pipeline().get(CODEC_HANDLER);
		Object decoder = readField(CombinedChannelDuplexHandler.class, INBOUND_HANDLER_FIELD, codec);
		return BAD_MESSAGE_STATE
			.equals(String.valueOf(readField(HttpObjectDecoder.class, DECODER_STATE_FIELD, decoder)));
	}

	private static Channel channel(Context context) {
		return ((ChannelHandlerContext) readField(context.getClass(), CHANNEL_CONTEXT_FIELD, context)).channel();
	}

	private static Object readField(Class<?> type, String name, Object owner) {
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
