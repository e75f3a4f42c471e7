package org.comfreyslip.routing.plan;

import java.util.ArrayList;
import java.util.Collections;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

import org.comfreyslip.routing.endpoint.EndpointEntry;
import org.comfreyslip.routing.endpoint.EndpointGrant;
import org.comfreyslip.routing.endpoint.EndpointTable;
import org.comfreyslip.routing.topology.EngineSpec;
import org.comfreyslip.routing.topology.KindSpec;
import org.comfreyslip.routing.topology.LinkSpec;
import org.comfreyslip.routing.topology.ModelSpec;
import org.comfreyslip.routing.topology.Topology;

/**
 * The data that plans are based on: the engines of each model by first layer, the
 * expected step times by accelerator kind, the links from the daemon's data centre, and
 * load and health from the endpoint table. A new table is built for each accepted
 * configuration; measured step times and link slowdowns are not carried over.
 */
public final class PlanningTable {

	/** Size of the activations of one token between two stages, in bytes. */
	public static final int BYTES_PER_TOKEN = 16 * 1024;

	/**
	 * Time of one prompt token relative to one generated token. The prompt runs as one
	 * batched step, which uses the accelerator far better.
	 */
	public static final double PREFILL_TIME_RATIO = 1.0 / 16;

	private static final double STEP_TIME_GAIN = 0.05;

	// A link that the operators' text does not name is assumed to be slow, so that plans
	// prefer the named links.
	private static final int UNNAMED_LINK_MBIT = 100;

	private static final int UNNAMED_LINK_MICROS = 20_000;

	private static final int LOCAL_MBIT = 10_000;

	private static final int LOCAL_MICROS = 50;

	private final String localDataCentre;

	private final EndpointTable endpoints;

	private final Map<String, PlanningModel> models = new HashMap<>();

	private final Map<String, double[]> layerNanosByKind = new HashMap<>();

	private final Map<String, LinkEstimate> linksByDataCentre = new HashMap<>();

	/**
	 * Creates the table.
	 * @param topology the accepted configuration
	 * @param localDataCentre the name of the daemon's data centre
	 * @param endpoints the endpoint table, which knows all engines of the topology by
	 * name
	 */
	public PlanningTable(Topology topology, String localDataCentre, EndpointTable endpoints) {
		this.localDataCentre = localDataCentre;
		this.endpoints = endpoints;
		for (KindSpec kind : topology.kinds()) {
			this.layerNanosByKind.put(kind.name(), new double[] { kind.layerMicros() * 1e3 });
		}
		addLinks(topology);
		Map<String, List<PlanningEngine>> engines = new HashMap<>();
		for (EngineSpec spec : topology.engines()) {
			endpoints.find(spec.name())
				.ifPresent((entry) -> engines.computeIfAbsent(spec.model(), (key) -> new ArrayList<>())
					.add(createPlanningEngine(spec, entry)));
		}
		for (ModelSpec model : topology.models()) {
			List<PlanningEngine> own = engines.getOrDefault(model.name(), List.of());
			this.models.put(model.name(), new PlanningModel(model.name(), model.layers(), own));
		}
	}

	/**
	 * Records a measured transfer between the daemon's data centre and another one. A
	 * data centre without engines or links is ignored.
	 * @param dataCentre the name of the other data centre
	 * @param bytes the number of bytes that were sent
	 * @param elapsedNanos the one-way time in ns
	 * @param nowNanos the current time in ns
	 */
	public void recordTransfer(String dataCentre, long bytes, long elapsedNanos, long nowNanos) {
		LinkEstimate link = this.linksByDataCentre.get(dataCentre);
		if (link != null) {
			link.recordTransfer(bytes, elapsedNanos, nowNanos);
		}
	}

	/**
	 * Records a measured step of one token. An unknown accelerator kind is ignored.
	 * @param kind the accelerator kind
	 * @param layers the number of layers that ran
	 * @param elapsedNanos the time at the engine, without queueing, in ns
	 */
	public void recordStep(String kind, int layers, long elapsedNanos) {
		double[] layerNanos = this.layerNanosByKind.get(kind);
		if (layerNanos != null && layers > 0) {
			layerNanos[0] += STEP_TIME_GAIN * ((double) elapsedNanos / layers - layerNanos[0]);
		}
	}

	/**
	 * Returns by what factor transfers to a data centre take longer than configured.
	 * @param dataCentre the name of the data centre
	 * @param nowNanos the current time in ns
	 * @return the factor, at least 1
	 */
	public double linkSlowdownFactor(String dataCentre, long nowNanos) {
		LinkEstimate link = this.linksByDataCentre.get(dataCentre);
		return (link != null) ? link.slowdownFactor(nowNanos) : 1;
	}

	PlanningModel model(String name) {
		return this.models.get(name);
	}

	/**
	 * Returns whether a plan may use an engine. Half-open engines recover through the
	 * daemon's load probes, so that no response depends on an engine that just failed.
	 * @param engine the engine
	 * @param request the response to plan
	 * @param nowNanos the current time in ns
	 * @return {@code true} if the engine is healthy and not excluded
	 */
	boolean isUsable(PlanningEngine engine, PlanRequest request, long nowNanos) {
		return engine.entry().health().grant(nowNanos) == EndpointGrant.NORMAL
				&& !request.excludedEngines().contains(engine.stage().engine());
	}

	/**
	 * Returns the score of one stage over the whole response: link transfer + expected
	 * queue wait + step time / slow-start weight - time saved by the prefix cache.
	 * @param engine the engine
	 * @param request the response to plan
	 * @param nowNanos the current time in ns
	 * @return the score in ns, not negative
	 */
	double scoreNanos(PlanningEngine engine, PlanRequest request, long nowNanos) {
		EndpointEntry entry = engine.entry();
		double tokenNanos = engine.layerNanos()[0] * engine.stage().layers().count();
		double weight = entry.health().slowStartWeight(nowNanos);
		int cached = Math.min(request.promptTokens(),
				request.cachedTokensByEngine().applyAsInt(engine.stage().engine()));
		double prefill = request.promptTokens() * PREFILL_TIME_RATIO * tokenNanos;
		double credit = prefill * cached / request.promptTokens();
		double response = tokenNanos * request.expectedTokens();
		double steps = response + prefill;
		double wait = entry.load().estimateQueue(nowNanos, (long) response, this.endpoints.liveDaemons()) * response;
		LinkEstimate link = engine.link();
		double perToken = link.transferNanos(BYTES_PER_TOKEN, nowNanos);
		double prompt = link.transferNanos((double) BYTES_PER_TOKEN * request.promptTokens(), nowNanos);
		double transfer = 2 * (request.expectedTokens() * perToken + prompt);
		return transfer + wait + steps / weight - credit;
	}

	private PlanningEngine createPlanningEngine(EngineSpec spec, EndpointEntry entry) {
		double[] layerNanos = this.layerNanosByKind.computeIfAbsent(spec.kind(), (kind) -> new double[] { 1e6 });
		LinkEstimate link = this.linksByDataCentre.computeIfAbsent(spec.dataCentre(), this::unnamedLink);
		return new PlanningEngine(StageCandidate.of(spec), entry, layerNanos, link);
	}

	private void addLinks(Topology topology) {
		this.linksByDataCentre.put(this.localDataCentre,
				new LinkEstimate(new LinkSpec(this.localDataCentre, this.localDataCentre, LOCAL_MBIT, LOCAL_MICROS)));
		for (LinkSpec link : topology.links()) {
			if (link.from().equals(this.localDataCentre)) {
				this.linksByDataCentre.put(link.to(), new LinkEstimate(link));
			}
			else if (link.to().equals(this.localDataCentre)) {
				this.linksByDataCentre.put(link.from(), new LinkEstimate(link));
			}
		}
	}

	private LinkEstimate unnamedLink(String dataCentre) {
		return new LinkEstimate(new LinkSpec(this.localDataCentre, dataCentre, UNNAMED_LINK_MBIT, UNNAMED_LINK_MICROS));
	}

	/**
	 * An engine with the data that its score is calculated from.
	 *
	 * @param stage the engine
	 * @param entry its health and load
	 * @param layerNanos the time of one layer for one token, in ns: an array of one
	 * element that all engines of the accelerator kind share
	 * @param link the link to its data centre
	 */
	record PlanningEngine(StageCandidate stage, EndpointEntry entry, double[] layerNanos, LinkEstimate link) {
	}

	/**
	 * The engines of one model, indexed by first layer.
	 *
	 * @param name the model's name
	 * @param layers the number of layers
	 * @param byFirstLayer for each layer, the engines whose range starts there; possibly
	 * empty
	 */
	record PlanningModel(String name, int layers, List<List<PlanningEngine>> byFirstLayer) {

		PlanningModel(String name, int layers, Iterable<PlanningEngine> engines) {
			this(name, layers, index(layers, engines));
		}

		private static List<List<PlanningEngine>> index(int layers, Iterable<PlanningEngine> engines) {
			List<List<PlanningEngine>> index = new ArrayList<>(Collections.nCopies(layers, List.of()));
			for (PlanningEngine engine : engines) {
				int first = engine.stage().layers().first();
				if (engine.stage().layers().end() > layers) {
					continue;
				}
				if (index.get(first).isEmpty()) {
					index.set(first, new ArrayList<>());
				}
				index.get(first).add(engine);
			}
			return index;
		}

	}

}
