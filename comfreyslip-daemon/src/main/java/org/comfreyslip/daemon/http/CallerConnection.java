package org.comfreyslip.daemon.http;

import java.lang.reflect.Field;

import io.jooby.Context;
import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;

/**
 * Tells when a caller's connection closes. Jooby has no public way to learn this before a
 * write fails, so the field of its Netty context is read by reflection.
 */
final class CallerConnection {

	private static final String FIELD = "ctx";

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

	private static Channel channel(Context context) {
		try {
			Field field = context.getClass().getDeclaredField(FIELD);
			field.setAccessible(true);
			return ((ChannelHandlerContext) field.get(context)).channel();
		}
		catch (ReflectiveOperationException ex) {
			throw new IllegalStateException("this Jooby version keeps its channel elsewhere", ex);
		}
	}

}
