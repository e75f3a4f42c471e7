package org.comfreyslip.entry.layers;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.Deque;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeMap;
import java.util.TreeSet;
import java.util.function.Predicate;
import java.util.function.ToLongFunction;

import org.comfreyslip.entry.model.AcceleratorKind;
import org.comfreyslip.entry.model.Endpoint;
import org.comfreyslip.entry.model.EngineSpec;
import org.comfreyslip.entry.model.LayerRange;

/**
 * Finds the path with the least expected time per token, including the share of prompt
 * processing, among those that have enough free KV cache memory on each stage. A path
 * stays in one data centre wherever one has such a path: the loads of links are known
 * only with a delay, and a link that gets more than it carries delays all streams on it.
 * Uses dynamic programming over layer boundaries; a path changes endpoints only where the
 * range of some endpoint begins or ends.
 */
public final class PathFinder {

	/** Largest number of stages that the platform accepts. */
	private static final int MAX_STAGES = 32;

	/**
	 * Cost of passing activations to the next stage within a data centre, in ms: the
	 * network delay and the wait for the next forward pass.
	 */
	static final double HANDOFF_MS = 0.25;

	/**
	 * Additional delay of passing activations to another data centre, without the
	 * transfer time on the link, in ms: the delay that is stated for both deployments.
	 */
	private static final double REMOTE_HANDOFF_MS = 8;

	/**
	 * Cost of a first stage in another data centre, in ms: the bytes between daemon and
	 * endpoint are charged for.
	 */
	private static final double REMOTE_FIRST_STAGE_MS = 1;

	/**
	 * Factor on the cost of a path in another data centre, whose loads are known with a
	 * longer delay: a smaller difference may be over when the stream arrives.
	 */
	private static final double REMOTE_COST_FACTOR = 1.5;

	/**
	 * Usual duration of a stream without disturbances, in ms, over which the transfer of
	 * its tokens on a link is spread.
	 */
	private static final double USUAL_STREAM_MS = 2_500;

	/**
	 * Share of a link's capacity that streams may use; above it transfers queue without
	 * bound.
	 */
	private static final double MAX_LINK_SHARE = 0.85;

	/**
	 * Share of the KV cache memory that reservations may take; the rest covers streams
	 * that hold more tokens than estimated.
	 */
	static final double MAX_KV_CACHE_SHARE = 0.92;

	/**
	 * Share of the first stage's slots that may be taken; the rest covers streams that
	 * other daemons have not reported yet.
	 */
	private static final double MAX_SLOT_SHARE = 0.95;

	private final EngineSpec engine;

	private final LayerLoads loads;

	private final EngineSlowdowns slowdowns;

	/**
	 * Creates a finder.
	 * @param engine the model engine of the service: its layers, memory and run times
	 * @param loads the loads of engines and links
	 * @param slowdowns the slowdown factors of engines
	 */
	public PathFinder(EngineSpec engine, LayerLoads loads, EngineSlowdowns slowdowns) {
		this.engine = engine;
		this.loads = loads;
		this.slowdowns = slowdowns;
	}

	/**
	 * Finds the cheapest path.
	 * @param candidates endpoints that may be used; those without layers are skipped
	 * @param dataCentre the daemon's data centre, which is preferred for the first stage
	 * @param tokens tokens that the stream will hold at its end, prompt and response
	 * @param allowedFirst tells which endpoints may serve the first stage
	 * @param nowNanos the current time in ns
	 * @return the path; empty if no path through all layers has enough free memory, free
	 * slots, room on its links and an allowed first stage
	 */
	public Optional<LayerPath> find(List<Endpoint> candidates, String dataCentre, int tokens,
			Predicate<Endpoint> allowedFirst, long nowNanos) {
		return find(candidates, dataCentre, tokens, allowedFirst, StageCosts.NONE, nowNanos);
	}

	/**
	 * Finds the cheapest path with added costs. In rare cases a path is found with some
	 * costs and none with others, since only the two cheapest ways to each boundary are
	 * considered.
	 * @param candidates endpoints that may be used; those without layers are skipped
	 * @param dataCentre the daemon's data centre, which is preferred for the first stage
	 * @param tokens tokens that the stream will hold at its end, prompt and response
	 * @param allowedFirst tells which endpoints may serve the first stage
	 * @param added the costs that stages add
	 * @param nowNanos the current time in ns
	 * @return the path; empty if no path through all layers has enough free memory, free
	 * slots, room on its links and an allowed first stage
	 */
	public Optional<LayerPath> find(List<Endpoint> candidates, String dataCentre, int tokens,
			Predicate<Endpoint> allowedFirst, StageCosts added, long nowNanos) {
		Map<String, List<Endpoint>> byDataCentre = new TreeMap<>();
		for (Endpoint candidate : candidates) {
			byDataCentre.computeIfAbsent(candidate.dataCentre(), (name) -> new ArrayList<>()).add(candidate);
		}
		LayerPath cheapest = null;
		double leastCostMs = Double.MAX_VALUE;
		for (Map.Entry<String, List<Endpoint>> group : byDataCentre.entrySet()) {
			Optional<LayerPath> found = new Search(group.getValue(), dataCentre, tokens, allowedFirst, added, nowNanos)
				.run();
			double factor = (group.getKey().equals(dataCentre)) ? 1 : REMOTE_COST_FACTOR;
			if (found.isPresent() && factor * found.get().costMs() < leastCostMs) {
				cheapest = found.get();
				leastCostMs = factor * cheapest.costMs();
			}
		}
		if (cheapest != null || byDataCentre.size() < 2) {
			return Optional.ofNullable(cheapest);
		}
		return new Search(candidates, dataCentre, tokens, allowedFirst, added, nowNanos).run();
	}

	/**
	 * Returns the layers that none of some endpoints holds, for the log.
	 * @param candidates endpoints that may be used
	 * @return ranges such as {@code 0-8}, separated by commas; empty if all are held, so
	 * that a missing path is due to a lack of capacity or of allowed first stages
	 */
	public String missingLayers(List<Endpoint> candidates) {
		List<LayerRange> ranges = candidates.stream().flatMap((endpoint) -> endpoint.layers().stream()).toList();
		return new LayerCoverage(this.engine.layers(), ranges).missing();
	}

	/**
	 * A state of the search: all layers before a boundary have run, the last of them at
	 * one endpoint.
	 *
	 * @param costMs least cost of the path so far, in ms per token
	 * @param startBoundary index of the boundary at which the last stage begins; -1
	 * before the first stage has run
	 * @param previousEndpoint index of the endpoint of the stage before; -1 for the first
	 * stage
	 * @param stageCount number of stages so far
	 */
	private record Arrival(double costMs, int startBoundary, int previousEndpoint, int stageCount) {
	}

	private final class Search {

		private final List<Endpoint> candidates;

		private final String dataCentre;

		private final int tokens;

		private final Predicate<Endpoint> allowedFirst;

		private final StageCosts added;

		/** Layers at which a range begins or ends, ascending; includes 0 and the end. */
		private final int[] boundaries;

		/** Cheapest arrival by index of the boundary and of the candidate. */
		private final Arrival[][] best;

		/** First layer of the range of each candidate. */
		private final int[] heldFrom;

		/** End of the range of each candidate, exclusive; 0 if it holds none. */
		private final int[] heldTo;

		/** Expected time per layer and token by candidate, in ms. */
		private final double[] layerMs;

		/** Number of layers whose KV cache for this stream still fits, by candidate. */
		private final int[] availableLayers;

		/** The data centres of the candidates, by index of the group. */
		private final List<String> dataCentres = new ArrayList<>();

		/** Index of the data centre by candidate. */
		private final int[] groups;

		/** Boundary to which the two following fields belong; -1 at the start. */
		private int rankedBoundary = -1;

		/** Candidate with the cheapest arrival by data centre; -1 if there is none. */
		private final int[] cheapestByGroup;

		/** Candidate with the second cheapest arrival by data centre; -1 if none. */
		private final int[] secondByGroup;

		/** Cost of a handoff between two data centres by their indexes, in ms. */
		private final double[][] handoffMs;

		Search(List<Endpoint> candidates, String dataCentre, int tokens, Predicate<Endpoint> allowedFirst,
				StageCosts added, long nowNanos) {
			this.candidates = candidates;
			this.dataCentre = dataCentre;
			this.tokens = Math.max(1, tokens);
			this.allowedFirst = allowedFirst;
			this.added = added;
			this.boundaries = boundaries();
			this.best = new Arrival[this.boundaries.length][candidates.size()];
			this.layerMs = new double[candidates.size()];
			this.availableLayers = new int[candidates.size()];
			this.heldFrom = new int[candidates.size()];
			this.heldTo = new int[candidates.size()];
			this.groups = new int[candidates.size()];
			for (int index = 0; index < candidates.size(); index++) {
				estimateEngine(index, nowNanos);
				this.groups[index] = groupOf(candidates.get(index).dataCentre());
			}
			this.cheapestByGroup = new int[this.dataCentres.size()];
			this.secondByGroup = new int[this.dataCentres.size()];
			this.handoffMs = estimateHandoffs();
		}

		private int groupOf(String name) {
			if (!this.dataCentres.contains(name)) {
				this.dataCentres.add(name);
			}
			return this.dataCentres.indexOf(name);
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

		// Estimates the time per layer and the free KV cache memory of a candidate.
		private void estimateEngine(int index, long nowNanos) {
			EngineSpec spec = PathFinder.this.engine;
			Endpoint endpoint = this.candidates.get(index);
			AcceleratorKind kind = endpoint.accelerator().map(spec.kinds()::get).orElse(null);
			if (kind == null || endpoint.layers().isEmpty()) {
				return;
			}
			this.heldFrom[index] = endpoint.layers().get().from();
			this.heldTo[index] = endpoint.layers().get().to();
			int held = this.heldTo[index] - this.heldFrom[index];
			LayerLoads.Load load = PathFinder.this.loads.totalLoad(endpoint.id());
			double availableTokenLayers = available(endpoint,
					MAX_KV_CACHE_SHARE * spec.kvCapacityTokenLayers(kind, held), LayerLoads.Load::tokenLayers,
					(double) this.tokens * held);
			this.availableLayers[index] = (int) Math.max(0, availableTokenLayers / this.tokens);
			double tokensInCache = load.tokenLayers() / (double) Math.max(1, held);
			double decodeMs = spec.stepMs() + spec.stepMsPerSequence() * load.streamCount()
					+ spec.stepMsPerContextToken() * tokensInCache;
			double promptMs = spec.meanPromptTokens() / spec.prefillTokensPerMs()
					/ Math.max(1, spec.meanResponseTokens());
			double usedShare = load.tokenLayers()
					/ Math.max(1, MAX_KV_CACHE_SHARE * spec.kvCapacityTokenLayers(kind, held));
			// A forward pass waits for the one before it, and the share of time that the
			// host is busy grows with its load.
			double waitFactor = 1 + usedShare;
			double slowdownFactor = PathFinder.this.slowdowns.slowdownFactor(endpoint.id(), nowNanos);
			this.layerMs[index] = slowdownFactor * (kind.stepFactor() * decodeMs * waitFactor
					+ kind.prefillFactor() * promptMs * (1 + load.streamCount())) / spec.layers();
		}

		// Returns how much of an engine's capacity this daemon may still take, where one
		// stream takes what it needs of it.
		private double available(Endpoint endpoint, double capacity, ToLongFunction<LayerLoads.Load> measure,
				double need) {
			LayerLoads known = PathFinder.this.loads;
			return (endpoint.dataCentre().equals(this.dataCentre))
					? capacity - measure.applyAsLong(known.totalLoad(endpoint.id()))
					: known.ownPartLeft(capacity, measure, endpoint.id(), need);
		}

		Optional<LayerPath> run() {
			for (int boundary = 0; boundary + 1 < this.boundaries.length; boundary++) {
				for (int index = 0; index < this.candidates.size(); index++) {
					extendFrom(boundary, index);
				}
			}
			return tracePath();
		}

		// Lets a candidate run a stage from a boundary to each later boundary that its
		// range and memory allow.
		private void extendFrom(int boundary, int index) {
			int from = this.boundaries[boundary];
			if (from < this.heldFrom[index] || from >= this.heldTo[index] || this.availableLayers[index] == 0) {
				return;
			}
			Arrival arrival = cheapestArrivalAt(boundary, index);
			if (arrival == null || arrival.stageCount() > MAX_STAGES) {
				return;
			}
			for (int next = boundary + 1; next < this.boundaries.length; next++) {
				int layers = this.boundaries[next] - from;
				if (this.boundaries[next] > this.heldTo[index] || layers > this.availableLayers[index]) {
					return;
				}
				double costMs = arrival.costMs() + layers * this.layerMs[index]
						+ this.added.costMs(this.candidates.get(index), layers);
				if (this.best[next][index] == null || costMs < this.best[next][index].costMs()) {
					this.best[next][index] = new Arrival(costMs, boundary, arrival.previousEndpoint(),
							arrival.stageCount());
				}
			}
		}

		// Returns the cheapest way to start a stage at a boundary on a candidate, or null
		// if there is none.
		private Arrival cheapestArrivalAt(int boundary, int index) {
			Endpoint endpoint = this.candidates.get(index);
			if (boundary == 0) {
				double freeSlots = available(endpoint, MAX_SLOT_SHARE * PathFinder.this.engine.slots(),
						LayerLoads.Load::firstStageCount, 1);
				if (freeSlots < 1 || !this.allowedFirst.test(endpoint)) {
					return null;
				}
				double entryMs = (endpoint.dataCentre().equals(this.dataCentre)) ? 0 : REMOTE_FIRST_STAGE_MS;
				return new Arrival(entryMs, -1, -1, 1);
			}
			Arrival cheapest = null;
			for (int group = 0; group < this.dataCentres.size(); group++) {
				int previous = cheapestPredecessor(boundary, group, index);
				if (previous < 0) {
					continue;
				}
				Arrival predecessor = this.best[boundary][previous];
				double costMs = predecessor.costMs() + this.handoffMs[group][this.groups[index]];
				if (costMs == Double.POSITIVE_INFINITY) {
					continue;
				}
				if (cheapest == null || costMs < cheapest.costMs()) {
					cheapest = new Arrival(costMs, boundary, previous, predecessor.stageCount() + 1);
				}
			}
			return cheapest;
		}

		// Returns the candidate of a data centre that reaches a boundary at the least
		// cost, on a path on which a given candidate may run the next stage; -1 if
		// neither
		// of the two cheapest allows it: then that candidate has been reached before, and
		// its stage there goes on to this boundary. All of a data centre hand off to the
		// next stage at the same cost.
		private int cheapestPredecessor(int boundary, int group, int next) {
			if (this.rankedBoundary != boundary) {
				rankPredecessors(boundary);
			}
			int first = this.cheapestByGroup[group];
			if (first < 0 || !runsBefore(boundary, first, next)) {
				return first;
			}
			int second = this.secondByGroup[group];
			return (second < 0 || !runsBefore(boundary, second, next)) ? second : -1;
		}

		// Tells whether a candidate runs a stage of the path that reaches a boundary at
		// another one. An engine must not run two stages of a path, also if another
		// engine is faster in between.
		private boolean runsBefore(int boundary, int index, int wanted) {
			int at = boundary;
			int current = index;
			while (current >= 0) {
				if (current == wanted) {
					return true;
				}
				Arrival arrival = this.best[at][current];
				at = arrival.startBoundary();
				current = arrival.previousEndpoint();
			}
			return false;
		}

		// Finds the two cheapest arrivals of each data centre at a boundary.
		private void rankPredecessors(int boundary) {
			this.rankedBoundary = boundary;
			Arrays.fill(this.cheapestByGroup, -1);
			Arrays.fill(this.secondByGroup, -1);
			for (int index = 0; index < this.candidates.size(); index++) {
				if (this.best[boundary][index] == null) {
					continue;
				}
				int group = this.groups[index];
				if (isCheaper(boundary, index, this.cheapestByGroup[group])) {
					this.secondByGroup[group] = this.cheapestByGroup[group];
					this.cheapestByGroup[group] = index;
				}
				else if (isCheaper(boundary, index, this.secondByGroup[group])) {
					this.secondByGroup[group] = index;
				}
			}
		}

		private boolean isCheaper(int boundary, int index, int other) {
			return other < 0 || this.best[boundary][index].costMs() < this.best[boundary][other].costMs();
		}

		private double[][] estimateHandoffs() {
			int count = this.dataCentres.size();
			double[][] costs = new double[count][count];
			for (int from = 0; from < count; from++) {
				costs[from][from] = HANDOFF_MS;
				for (int to = 0; to < from; to++) {
					costs[from][to] = estimateLinkMs(
							LayerLoads.linkKey(this.dataCentres.get(from), this.dataCentres.get(to)));
					costs[to][from] = costs[from][to];
				}
			}
			return costs;
		}

		// Returns infinity for a link that cannot take the stream.
		private double estimateLinkMs(String linkKey) {
			EngineSpec spec = PathFinder.this.engine;
			double capacityTokens = (spec.linkMsPerToken() > 0)
					? MAX_LINK_SHARE * USUAL_STREAM_MS / spec.linkMsPerToken() : Double.MAX_VALUE;
			if (PathFinder.this.loads.ownPartLeft(capacityTokens, LayerLoads.Load::tokenLayers, linkKey,
					this.tokens) < this.tokens) {
				return Double.POSITIVE_INFINITY;
			}
			double usedShare = PathFinder.this.loads.totalLoad(linkKey).tokenLayers() * spec.linkMsPerToken()
					/ USUAL_STREAM_MS;
			double tokensPerPass = 1 + spec.meanPromptTokens() / (double) Math.max(1, spec.meanResponseTokens());
			return HANDOFF_MS + REMOTE_HANDOFF_MS
					+ tokensPerPass * spec.linkMsPerToken() / (1 - Math.min(MAX_LINK_SHARE, usedShare));
		}

		// Follows the arrivals back from the cheapest one at the last boundary.
		private Optional<LayerPath> tracePath() {
			int boundary = this.boundaries.length - 1;
			int index = -1;
			for (int last = 0; last < this.candidates.size(); last++) {
				Arrival arrival = this.best[boundary][last];
				if (arrival != null && (index < 0 || arrival.costMs() < this.best[boundary][index].costMs())) {
					index = last;
				}
			}
			double costMs = (index < 0) ? 0 : this.best[boundary][index].costMs();
			double addedMs = 0;
			Deque<LayerPath.Stage> stages = new ArrayDeque<>();
			Set<String> usedEndpoints = new HashSet<>();
			while (index >= 0) {
				Arrival arrival = this.best[boundary][index];
				int from = this.boundaries[arrival.startBoundary()];
				Endpoint endpoint = this.candidates.get(index);
				LayerRange layers = new LayerRange(from, this.boundaries[boundary]);
				stages.addFirst(new LayerPath.Stage(endpoint, layers));
				addedMs += this.added.costMs(endpoint, layers.size());
				if (!usedEndpoints.add(endpoint.id())) {
					return Optional.empty();
				}
				boundary = arrival.startBoundary();
				index = arrival.previousEndpoint();
			}
			return (stages.isEmpty()) ? Optional.empty()
					: Optional.of(new LayerPath(new ArrayList<>(stages), costMs - addedMs, addedMs));
		}

	}

}
