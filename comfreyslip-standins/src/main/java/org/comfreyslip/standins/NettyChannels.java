package org.comfreyslip.standins;

import java.lang.reflect.Field;

import io.jooby.Context;
import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelOption;

/**
 * Access to the connection under a Jooby request. Jooby offers no public way to close a
 * connection without an answer, so the field of its Netty context is read by reflection.
 */
final class NettyChannels {

	private static final String FIELD = "ctx";

	private NettyChannels() {
	}

	static Channel of(Context context) {
		try {
			Field field = context.getClass().getDeclaredField(FIELD);
			field.setAccessible(true);
			return ((ChannelHandlerContext) field.get(context)).channel();
		}
		catch (ReflectiveOperationException ex) {
			throw new IllegalStateException("this Jooby version keeps its channel elsewhere", ex);
		}
	}

	// Closes the connection with a reset instead of an orderly end.
	static void reset(Channel channel) {
		channel.config().setOption(ChannelOption.SO_LINGER, 0);
		channel.close();
	}

}
