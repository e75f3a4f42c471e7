package org.comfreyslip.entry.layers;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeSet;
import java.util.function.Predicate;

import org.comfreyslip.entry.model.AcceleratorKind;
import org.comfreyslip.entry.model.Endpoint;
import org.comfreyslip.entry.model.EngineSpec;
import org.comfreyslip.entry.model.LayerRange;

/**
 * Finds the path with the least expected time of one token, prompt reading included, that
 * still has KV cache memory on each part. Dynamic programming over layer boundaries; a
 * path changes endpoints only where some endpoint's range begins or ends.
 */
public final class PathFinder {

	/** Cost of a pipe that is full, in ms; taken only where no other path exists. */
	private static final double PIPE_FULL_MS = 60;

	/** Largest number of parts that the platform accepts. */
	private static final int MAX_PARTS = 32;

	/**
	 * Cost of handing on within a data centre, in ms: the link delay and the wait for the
	 * next pass.
	 */
	private static final double HOP_MS = 0.25;

	/**
	 * Delay of handing on to another data centre beside the pipe, in ms: as stated for
	 * both deployments.
	 */
	private static final double REMOTE_HOP_MS = 8;

	/**
	 * Cost of a first part in another data centre, in ms: the bytes between daemon and
	 * endpoint are priced.
	 */
	private static final double REMOTE_FIRST_MS = 1;

	/**
	 * Usual time of a stream, in ms, over which its tokens spread on a pipe: measured on
	 * calm days.
	 */
	private static final double STREAM_MS = 2_500;

	/** Share of a pipe that streams may use; beyond it transfers queue without bound. */
	private static final double PIPE_SHARE = 0.85;

	/**
	 * Share of the KV cache memory that reservations may take; the rest covers wrong
	 * estimates.
	 */
	private static final double KV_SHARE = 0.92;

	/**
	 * Share of the first part's slots that may be taken; the rest covers streams not yet
	 * reported.
	 */
	private static final double SLOT_SHARE = 0.95;

	private final EngineSpec engine;

	private final LayerLoads loads;

	private final EnginePaces paces;

	/**
	 * Creates a finder.
	 * @param engine the engine
	 * @param loads the loads
	 * @param paces the slow engines
	 */
	public PathFinder(EngineSpec engine, LayerLoads loads, EnginePaces paces) {
		this.engine = engine;
		this.loads = loads;
		this.paces = paces;
	}

	/**
	 * Finds a path.
	 * @param candidates endpoints that hold layers and may be used
	 * @param dataCentre the daemon's data centre, where the path starts if possible
	 * @param tokens tokens that the stream will hold, prompt and answer
	 * @param allowedFirst which endpoints may be the first part
	 * @param nowNanos the current time in ns
	 * @return the path, empty if layers have no holder with memory left
	 */
	public Optional<LayerPath> find(List<Endpoint> candidates, String dataCentre, int tokens,
			Predicate<Endpoint> allowedFirst, long nowNanos) {
		Search search = new Search(candidates, dataCentre, tokens, allowedFirst, nowNanos);
		return search.run();
	}

	/**
	 * One state: all layers before a boundary have run, the last of them at an endpoint.
	 */
	private record Arrival(double cost, int fromBoundary, int fromEndpoint, int parts) {
	}

	private final class Search {

		private final List<Endpoint> candidates;

		private final String dataCentre;

		private final int tokens;

		private final Predicate<Endpoint> allowedFirst;

		private final int[] boundaries;

		private final Arrival[][] best;

		private final double[] layerMs;

		private final int[] roomLayers;

		private final Map<String, Double> pipeMs = new HashMap<>();

		Search(List<Endpoint> candidates, String dataCentre, int tokens, Predicate<Endpoint> allowedFirst,
				long nowNanos) {
			this.candidates = candidates;
			this.dataCentre = dataCentre;
			this.tokens = Math.max(1, tokens);
			this.allowedFirst = allowedFirst;
			this.boundaries = boundaries();
			this.best = new Arrival[this.boundaries.length][candidates.size()];
			this.layerMs = new double[candidates.size()];
			this.roomLayers = new int[candidates.size()];
			for (int index = 0; index < candidates.size(); index++) {
				rate(index, nowNanos);
			}
		}

		private int[] boundaries() {
			Set<Integer> all = new TreeSet<>(Set.of(0, PathFinder.this.engine.layers()));
			for (Endpoint endpoint : this.candidates) {
				endpoint.layers().ifPresent((range) -> {
					all.add(range.from());
					all.add(range.to());
				});
			}
			return all.stream().mapToInt(Integer::intValue).toArray();
		}

		private void rate(int index, long nowNanos) {
			EngineSpec spec = PathFinder.this.engine;
			Endpoint endpoint = this.candidates.get(index);
			AcceleratorKind kind = endpoint.accelerator().map(spec.kinds()::get).orElse(null);
			if (kind == null || endpoint.layers().isEmpty()) {
				return;
			}
			int held = endpoint.layers().get().size();
			LayerLoads.Load load = PathFinder.this.loads.of(endpoint.id());
			double room = KV_SHARE * spec.kvCapacityTokenLayers(kind, held) - load.tokenLayers();
			this.roomLayers[index] = (int) Math.max(0, room / this.tokens);
			double context = load.tokenLayers() / (double) Math.max(1, held);
			double step = spec.stepMs() + spec.stepMsPerSequence() * load.streams()
					+ spec.stepMsPerContextToken() * context;
			double read = spec.meanPromptTokens() / spec.prefillTokensPerMs() / Math.max(1, spec.meanResponseTokens());
			double used = load.tokenLayers() / Math.max(1, KV_SHARE * spec.kvCapacityTokenLayers(kind, held));
			// A pass waits for the pass before it, and the share of time that the host is
			// busy grows with its load.
			double waiting = 1 + used;
			double pace = PathFinder.this.paces.factor(endpoint.id(), nowNanos);
			this.layerMs[index] = pace
					* (kind.stepFactor() * step * waiting + kind.prefillFactor() * read * (1 + load.streams()))
					/ spec.layers();
		}

		Optional<LayerPath> run() {
			for (int boundary = 0; boundary + 1 < this.boundaries.length; boundary++) {
				for (int index = 0; index < this.candidates.size(); index++) {
					extendFrom(boundary, index);
				}
			}
			return trace();
		}

		private void extendFrom(int boundary, int index) {
			LayerRange held = this.candidates.get(index).layers().orElse(null);
			int from = this.boundaries[boundary];
			if (held == null || !held.contains(from) || this.roomLayers[index] == 0) {
				return;
			}
			Arrival arrival = cheapestEntry(boundary, index);
			if (arrival == null || arrival.parts() > MAX_PARTS) {
				return;
			}
			for (int next = boundary + 1; next < this.boundaries.length; next++) {
				int layers = this.boundaries[next] - from;
				if (this.boundaries[next] > held.to() || layers > this.roomLayers[index]) {
					return;
				}
				double cost = arrival.cost() + layers * this.layerMs[index];
				if (this.best[next][index] == null || cost < this.best[next][index].cost()) {
					this.best[next][index] = new Arrival(cost, boundary, arrival.fromEndpoint(), arrival.parts());
				}
			}
		}

		private Arrival cheapestEntry(int boundary, int index) {
			Endpoint endpoint = this.candidates.get(index);
			if (boundary == 0) {
				boolean slots = PathFinder.this.loads.of(endpoint.id()).firsts() < SLOT_SHARE
						* PathFinder.this.engine.slots();
				if (!slots || !this.allowedFirst.test(endpoint)) {
					return null;
				}
				double entry = (endpoint.dataCentre().equals(this.dataCentre)) ? 0 : REMOTE_FIRST_MS;
				return new Arrival(entry, -1, -1, 1);
			}
			Arrival cheapest = null;
			for (int previous = 0; previous < this.candidates.size(); previous++) {
				Arrival before = this.best[boundary][previous];
				if (before == null || previous == index) {
					continue;
				}
				double cost = before.cost() + hopMs(this.candidates.get(previous).dataCentre(), endpoint.dataCentre());
				if (cheapest == null || cost < cheapest.cost()) {
					cheapest = new Arrival(cost, boundary, previous, before.parts() + 1);
				}
			}
			return cheapest;
		}

		private double hopMs(String from, String to) {
			if (from.equals(to)) {
				return HOP_MS;
			}
			return this.pipeMs.computeIfAbsent(LayerLoads.pipe(from, to), this::pipeMs);
		}

		private double pipeMs(String pipe) {
			EngineSpec spec = PathFinder.this.engine;
			double used = PathFinder.this.loads.of(pipe).tokenLayers() * spec.linkMsPerToken() / STREAM_MS;
			if (used >= PIPE_SHARE) {
				return PIPE_FULL_MS;
			}
			double tokens = 1 + spec.meanPromptTokens() / (double) Math.max(1, spec.meanResponseTokens());
			return HOP_MS + REMOTE_HOP_MS + tokens * spec.linkMsPerToken() / (1 - used);
		}

		private Optional<LayerPath> trace() {
			int boundary = this.boundaries.length - 1;
			int index = -1;
			for (int last = 0; last < this.candidates.size(); last++) {
				Arrival arrival = this.best[boundary][last];
				if (arrival != null && (index < 0 || arrival.cost() < this.best[boundary][index].cost())) {
					index = last;
				}
			}
			Deque<LayerPath.Part> parts = new ArrayDeque<>();
			Set<String> used = new HashSet<>();
			while (index >= 0) {
				Arrival arrival = this.best[boundary][index];
				int from = this.boundaries[arrival.fromBoundary()];
				Endpoint endpoint = this.candidates.get(index);
				parts.addFirst(new LayerPath.Part(endpoint, new LayerRange(from, this.boundaries[boundary])));
				if (!used.add(endpoint.id())) {
					return Optional.empty();
				}
				boundary = arrival.fromBoundary();
				index = arrival.fromEndpoint();
			}
			return (parts.isEmpty()) ? Optional.empty() : Optional.of(new LayerPath(new ArrayList<>(parts)));
		}

	}

}
