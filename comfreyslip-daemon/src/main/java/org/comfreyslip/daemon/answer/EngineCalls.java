package org.comfreyslip.daemon.answer;

import java.util.Optional;
import java.util.concurrent.CompletableFuture;

import org.comfreyslip.clients.CallFailedException;
import org.comfreyslip.clients.engine.EngineClient;
import org.comfreyslip.clients.engine.StepKind;
import org.comfreyslip.clients.engine.StepReply;
import org.comfreyslip.clients.engine.StepRequest;
import org.comfreyslip.clients.engine.StepToken;
import org.comfreyslip.clients.engine.TokenizeRequest;
import org.comfreyslip.coordination.CodedException;
import org.comfreyslip.coordination.ErrorCode;
import org.comfreyslip.daemon.route.EngineClients;
import org.comfreyslip.routing.pipeline.GeneratedToken;
import org.comfreyslip.routing.pipeline.PipelineAction.CancelStream;
import org.comfreyslip.routing.pipeline.PipelineAction.SendStep;
import org.comfreyslip.routing.pipeline.PipelineAction.TransferCache;
import org.comfreyslip.routing.pipeline.StepFailure;
import org.comfreyslip.routing.pipeline.StepId;
import org.comfreyslip.routing.pipeline.StepResult;

/**
 * Sends the calls of answers to engines and converts the replies.
 */
final class EngineCalls {

	private static final long NANOS_PER_MILLI = 1_000_000L;

	private final EngineClients clients;

	EngineCalls(EngineClients clients) {
		this.clients = clients;
	}

	CompletableFuture<int[]> tokenize(String engine, String model, String text) {
		return requireClient(engine).tokenize(new TokenizeRequest(model, text)).thenApply((reply) -> reply.tokens());
	}

	CompletableFuture<StepReply> sendStep(AnswerRequest request, SendStep step, int promptCount, long timeoutNanos,
			long nowNanos) {
		StepId id = step.id();
		int[] tokens = step.tokens().stream().mapToInt(Integer::intValue).toArray();
		long remainingMillis = (request.deadlineNanos() - nowNanos) / NANOS_PER_MILLI;
		boolean firstStage = id.layers().first() == 0;
		StepRequest message = new StepRequest(id.request(), id.attempt(), request.model().name(),
				request.model().version(), id.position(), id.count(), id.layers().first(), id.layers().end(),
				firstStage ? tokens : null, firstStage ? null : step.input(), StepKind.valueOf(id.kind().name()),
				request.account().priority(), remainingMillis, promptCount);
		return requireClient(step.engine()).step(message, (int) (timeoutNanos / NANOS_PER_MILLI));
	}

	void cancel(CancelStream cancel) {
		this.clients.client(cancel.engine()).ifPresent((client) -> client.cancel(cancel.request(), cancel.attempt()));
	}

	/**
	 * Transfers a KV cache from one engine to another. Fails unless the exporting engine
	 * holds exactly the expected number of positions: if its cache already contained the
	 * lost step, the importing engine would run that step a second time.
	 * @param transfer the engines, the stream and the expected number of positions
	 * @return a future that completes when the importing engine has confirmed the import
	 */
	CompletableFuture<Void> transferCache(TransferCache transfer) {
		EngineClient importer = requireClient(transfer.to());
		return requireClient(transfer.from()).exportKv(transfer.request()).thenCompose((cache) -> {
			if (cache.positions() != transfer.positions()) {
				throw new CodedException(ErrorCode.KV_MISSING, transfer.from() + " holds " + cache.positions()
						+ " positions instead of " + transfer.positions());
			}
			return importer.importKv(transfer.request(), cache);
		});
	}

	void evictIdleConnections(String engine) {
		this.clients.evictIdle(engine);
	}

	static boolean isReplyTo(StepId id, StepReply reply) {
		return reply.stream().equals(id.request()) && reply.attempt() == id.attempt()
				&& reply.position() == id.position() && reply.count() == id.count()
				&& reply.firstLayer() == id.layers().first() && reply.endLayer() == id.layers().end();
	}

	static StepResult toStepAnswer(StepReply reply) {
		byte[] output = (reply.output() != null) ? reply.output() : new byte[0];
		return new StepResult(output, Optional.ofNullable(reply.token()).map(EngineCalls::toGeneratedToken));
	}

	static StepFailure toStepFailure(Throwable ex) {
		if (ex instanceof CallFailedException failed) {
			return failed.mayHaveBeenSent() ? StepFailure.TIMED_OUT : StepFailure.UNREACHABLE;
		}
		if (ex instanceof CodedException coded && coded.code() == ErrorCode.KV_MISSING) {
			return StepFailure.KV_LOST;
		}
		return StepFailure.REFUSED;
	}

	private static GeneratedToken toGeneratedToken(StepToken token) {
		return new GeneratedToken(token.id(), token.text(), token.end());
	}

	private EngineClient requireClient(String engine) {
		return this.clients.client(engine)
			.orElseThrow(() -> new CodedException(ErrorCode.NO_ENDPOINT,
					"engine " + engine + " is no longer part of the configuration"));
	}

}
