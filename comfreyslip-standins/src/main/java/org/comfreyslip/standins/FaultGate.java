package org.comfreyslip.standins;

import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionException;

import io.jooby.Context;
import io.netty.channel.Channel;
import io.netty.util.AttributeKey;
import org.comfreyslip.coordination.ErrorCode;

/**
 * Runs the handlers of a stand-in under the fault in force and writes their responses.
 */
final class FaultGate {

	private static final AttributeKey<Long> EPOCH = AttributeKey.valueOf("standin.epoch");

	private final StandinRuntime runtime;

	FaultGate(StandinRuntime runtime) {
		this.runtime = runtime;
	}

	Context handle(Context context, StandinHandler handler) {
		Channel channel = NettyChannels.of(context);
		channel.attr(EPOCH).setIfAbsent(this.runtime.faults().silentEpoch());
		if (isSilent(channel)) {
			return context;
		}
		StandinRequest request = new StandinRequest(context);
		switch (this.runtime.faults().draw(context.getMethod())) {
			case DOWN -> write(context, StandinReply.error(ErrorCode.OVERLOADED, "the stand-in is set to be down"));
			case RESET -> NettyChannels.reset(channel);
			case LOST_ANSWER -> call(handler, request).whenComplete((reply, ex) -> NettyChannels.reset(channel));
			case SLOW -> this.runtime.delay(this.runtime.faults().delayMillis())
				.thenCompose((ignored) -> call(handler, request))
				.whenComplete((reply, ex) -> answer(context, reply, ex));
			case HANG -> {
				// The connection stays open without an answer.
			}
			default -> call(handler, request).whenComplete((reply, ex) -> answer(context, reply, ex));
		}
		return context;
	}

	// Handles a request of the test itself, which no fault touches.
	Context control(Context context, StandinHandler handler) {
		call(handler, new StandinRequest(context)).whenComplete((reply, ex) -> write(context, replyOf(reply, ex)));
		return context;
	}

	private void answer(Context context, StandinReply reply, Throwable failure) {
		if (!isSilent(NettyChannels.of(context))) {
			write(context, replyOf(reply, failure));
		}
	}

	private boolean isSilent(Channel channel) {
		return channel.attr(EPOCH).get() < this.runtime.faults().silentEpoch();
	}

	private static CompletableFuture<StandinReply> call(StandinHandler handler, StandinRequest request) {
		try {
			return handler.handle(request);
		}
		catch (RuntimeException ex) {
			return CompletableFuture.failedFuture(ex);
		}
	}

	private static StandinReply replyOf(StandinReply reply, Throwable failure) {
		if (failure == null) {
			return reply;
		}
		return StandinReply.failure((failure instanceof CompletionException) ? failure.getCause() : failure);
	}

	private static void write(Context context, StandinReply reply) {
		context.setResponseCode(reply.status());
		context.setResponseType(reply.type());
		reply.headers().forEach(context::setResponseHeader);
		context.send(reply.body());
	}

}
