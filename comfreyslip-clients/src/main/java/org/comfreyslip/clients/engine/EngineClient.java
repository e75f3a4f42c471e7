package org.comfreyslip.clients.engine;

import java.util.List;
import java.util.concurrent.CompletableFuture;

import org.comfreyslip.clients.CallFailedException;
import org.comfreyslip.clients.FutureSupport;
import org.comfreyslip.clients.HttpCall;
import org.comfreyslip.clients.HttpHeader;
import org.comfreyslip.clients.HttpReply;
import org.comfreyslip.clients.HttpTransport;
import org.comfreyslip.coordination.CodedException;
import org.comfreyslip.coordination.ErrorCode;

/**
 * Client of one model engine. A refusal is a {@link CodedException} with the engine's
 * code; a call without a complete response is a {@link CallFailedException}. Cancelling a
 * returned future cancels the call, not the engine's work.
 */
public final class EngineClient {

	/** HTTP header that holds the number of positions of a KV cache. */
	public static final String KV_POSITIONS = "Kv-Positions";

	private final HttpTransport http;

	private final String address;

	private final int limitMillis;

	/**
	 * Creates a client.
	 * @param http the shared HTTP client
	 * @param address ip:port of the engine
	 * @param limitMillis time limit of every call except steps, in milliseconds
	 */
	public EngineClient(HttpTransport http, String address, int limitMillis) {
		this.http = http;
		this.address = address;
		this.limitMillis = limitMillis;
	}

	/**
	 * Splits a text into tokens.
	 * @param request the model and the text
	 * @return the token ids of the text
	 */
	public CompletableFuture<TokenizeReply> tokenize(TokenizeRequest request) {
		return call(HttpCall.post(this.address, "/v1/tokenize", request), TokenizeReply.class);
	}

	/**
	 * Runs a step on the engine.
	 * @param request the positions and layers to run
	 * @param stepMillis time limit of the step in milliseconds
	 * @return the engine's reply: activations, or the next token from the last stage
	 */
	public CompletableFuture<StepReply> step(StepRequest request, int stepMillis) {
		HttpCall call = HttpCall.post(this.address, "/v1/step", request).within(stepMillis);
		return FutureSupport.map(this.http.send(call), (reply) -> reply.json(StepReply.class));
	}

	/**
	 * Ends a stream on the engine. Repeating it has no further effect.
	 * @param stream name of the response
	 * @param attempt the attempt that ends
	 * @return a future that completes with {@code null} when the engine has confirmed
	 */
	public CompletableFuture<Void> cancel(String stream, int attempt) {
		HttpCall call = HttpCall.post(this.address, "/v1/streams/" + stream + "/cancel", new CancelRequest(attempt))
			.within(this.limitMillis);
		return FutureSupport.map(this.http.send(call), EngineClient::confirm);
	}

	/**
	 * Exports the KV cache of a stream.
	 * @param stream name of the response
	 * @return the cache, or a {@link CodedException} with {@link ErrorCode#KV_MISSING}
	 */
	public CompletableFuture<KvCache> exportKv(String stream) {
		HttpCall call = HttpCall.get(this.address, kvPath(stream)).within(this.limitMillis);
		return FutureSupport.map(this.http.send(call), EngineClient::kvCache);
	}

	/**
	 * Imports the KV cache of a stream, replacing what the engine holds for it.
	 * @param stream name of the response
	 * @param cache a cache exported by an engine whose layer range covers that of this
	 * engine
	 * @return a future that completes with {@code null} when the engine has confirmed
	 */
	public CompletableFuture<Void> importKv(String stream, KvCache cache) {
		List<HttpHeader> headers = List.of(new HttpHeader("Content-Type", "application/octet-stream"),
				new HttpHeader(KV_POSITIONS, Integer.toString(cache.positions())));
		HttpCall getCall = HttpCall.get(this.address, kvPath(stream));
		HttpCall call = new HttpCall(this.address, "PUT", getCall.path(), headers, cache.data(), this.limitMillis,
				this.limitMillis, getCall.boundary());
		return FutureSupport.map(this.http.send(call), EngineClient::confirm);
	}

	/**
	 * Reads the engine's load.
	 * @return the load as the engine last measured it
	 */
	public CompletableFuture<EngineLoad> load() {
		return call(HttpCall.get(this.address, "/v1/load"), EngineLoad.class);
	}

	/**
	 * Reads prefix cache events.
	 * @param from number of the first event wanted
	 * @return the events from that number on that the engine has recorded so far
	 */
	public CompletableFuture<CacheEventPage> cacheEvents(long from) {
		return call(HttpCall.get(this.address, "/v1/cache-events?from=" + from), CacheEventPage.class);
	}

	/**
	 * Sends an order.
	 * @param order the state that the engine is to reach
	 * @return the state after the order, or a {@link CodedException} with
	 * {@link ErrorCode#STALE_FENCE}
	 */
	public CompletableFuture<EngineState> order(EngineOrder order) {
		return call(HttpCall.post(this.address, "/v1/orders", order), EngineState.class);
	}

	/**
	 * Reads what the engine has loaded.
	 * @return the loaded model, layers and adapters
	 */
	public CompletableFuture<EngineState> state() {
		return call(HttpCall.get(this.address, "/v1/state"), EngineState.class);
	}

	private <T> CompletableFuture<T> call(HttpCall call, Class<T> type) {
		return FutureSupport.map(this.http.send(call.within(this.limitMillis)), (reply) -> reply.json(type));
	}

	private static String kvPath(String stream) {
		return "/v1/streams/" + stream + "/kv";
	}

	private static Void confirm(HttpReply reply) {
		reply.requireSuccess();
		return null;
	}

	private static KvCache kvCache(HttpReply reply) {
		reply.requireSuccess();
		String positions = reply.header(KV_POSITIONS);
		if (positions == null) {
			throw new CodedException(ErrorCode.ENDPOINT_FAILED, "the engine sent no " + KV_POSITIONS + " header");
		}
		return new KvCache(Integer.parseInt(positions), reply.body());
	}

}
