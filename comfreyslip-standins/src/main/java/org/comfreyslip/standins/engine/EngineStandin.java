package org.comfreyslip.standins.engine;

import java.util.Map;
import java.util.concurrent.CompletableFuture;

import org.comfreyslip.clients.engine.CancelRequest;
import org.comfreyslip.clients.engine.EngineClient;
import org.comfreyslip.clients.engine.EngineOrder;
import org.comfreyslip.clients.engine.KvCache;
import org.comfreyslip.clients.engine.OrderAction;
import org.comfreyslip.clients.engine.StepRequest;
import org.comfreyslip.clients.engine.TokenizeReply;
import org.comfreyslip.clients.engine.TokenizeRequest;
import org.comfreyslip.standins.Standin;
import org.comfreyslip.standins.StandinArguments;
import org.comfreyslip.standins.StandinReply;
import org.comfreyslip.standins.StandinRequest;
import org.comfreyslip.standins.StandinRoutes;
import org.comfreyslip.standins.StandinRuntime;

/**
 * Model engine that computes the {@link ReferenceModel}.
 */
public final class EngineStandin implements Standin {

	private static final int OK = 200;

	private final EngineSettings settings;

	private final StandinRuntime runtime;

	private final EngineCore core;

	private final BatchLoop loop;

	/**
	 * Creates an engine and starts its worker.
	 * @param arguments the options
	 * @param runtime what the server offers
	 */
	public EngineStandin(StandinArguments arguments, StandinRuntime runtime) {
		this.settings = EngineSettings.of(arguments);
		this.runtime = runtime;
		this.core = new EngineCore(this.settings, runtime.faults()::isLeaving);
		this.loop = new BatchLoop(this.core, this.settings.maxBatch());
		this.loop.start();
	}

	@Override
	public void register(StandinRoutes routes) {
		routes.add("POST", "/v1/tokenize", (request) -> StandinReply.json(tokenize(request)).now());
		routes.add("POST", "/v1/step", this::step);
		routes.add("POST", "/v1/streams/{id}/cancel", (request) -> cancel(request).now());
		routes.add("GET", "/v1/streams/{id}/kv", (request) -> exportKv(request).now());
		routes.add("PUT", "/v1/streams/{id}/kv", (request) -> importKv(request).now());
		routes.add("GET", "/v1/load", (request) -> StandinReply.json(this.core.load(System.nanoTime())).now());
		routes.add("GET", "/v1/cache-events", (request) -> cacheEvents(request).now());
		routes.add("POST", "/v1/orders", this::order);
		routes.add("GET", "/v1/state", (request) -> StandinReply.json(this.core.state()).now());
		routes.add("GET", "/v1/passes",
				(request) -> StandinReply.json(this.core.passes(request.query("stream", ""))).now());
	}

	@Override
	public void close() {
		this.loop.stop();
	}

	private static TokenizeReply tokenize(StandinRequest request) {
		return new TokenizeReply(ReferenceModel.tokenize(request.json(TokenizeRequest.class).text()));
	}

	private CompletableFuture<StandinReply> step(StandinRequest request) {
		StepRequest step = request.json(StepRequest.class);
		return this.core.accept(step).thenApplyAsync(StandinReply::json, this.runtime.workers());
	}

	private StandinReply cancel(StandinRequest request) {
		this.core.cancel(request.path("id"), request.json(CancelRequest.class).attempt());
		return StandinReply.json("ok");
	}

	private StandinReply exportKv(StandinRequest request) {
		KvCache exported = this.core.exportKv(request.path("id"));
		Map<String, String> headers = Map.of(EngineClient.KV_POSITIONS, Integer.toString(exported.positions()));
		return new StandinReply(OK, "application/octet-stream", headers, exported.data());
	}

	private StandinReply importKv(StandinRequest request) {
		int positions = (int) request.header(EngineClient.KV_POSITIONS, 0);
		this.core.importKv(request.path("id"), new KvCache(positions, request.body()), System.nanoTime());
		return StandinReply.json("ok");
	}

	private StandinReply cacheEvents(StandinRequest request) {
		return StandinReply.json(this.core.cacheEvents(request.query("from", 0), System.nanoTime()));
	}

	private CompletableFuture<StandinReply> order(StandinRequest request) {
		EngineOrder order = request.json(EngineOrder.class);
		this.core.fence(order);
		boolean loads = order.action() == OrderAction.LOAD_MODEL || order.action() == OrderAction.LOAD_ADAPTER;
		return this.runtime.delay((loads) ? this.settings.loadModelMillis() : 0)
			.thenApply((ignored) -> StandinReply.json(this.core.carryOut(order)));
	}

}
