package org.comfreyslip.entry.layers;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;

import org.comfreyslip.entry.layers.LayerPlanner.EnginePlacement;
import org.comfreyslip.entry.model.EngineSpec;
import org.comfreyslip.entry.model.LayerRange;

/**
 * Finds the orders that give a run of layers without a replica new replicas in the
 * shortest time. Loading time is proportional to the number of layers that an engine
 * loads, so the run is divided among engines that extend or shift their ranges. An engine
 * releases only layers of which its group has another loaded replica.
 */
final class GapRepair {

	/**
	 * Largest share of an engine's memory that weights may take after a repair. The rest
	 * holds the KV cache of some streams, without which no stream could use the layers.
	 */
	static final double MAX_WEIGHT_SHARE = 0.9;

	/**
	 * Loading time up to which a repair prefers fewer orders to faster ones, in s. A path
	 * has to exist again 1 s after the first planning round; an order and the
	 * registration of its result take the rest.
	 */
	private static final double TARGET_LOAD_SECONDS = 0.7;

	/**
	 * Cost of an order, in layers loaded. The engine's batch stops while it begins the
	 * order, and streams through released layers are broken off.
	 */
	static final int ORDER_COST_LAYERS = 4;

	/** Factor on the step time up to which an engine replaces another one in full. */
	static final double EQUAL_STEP_FACTOR = 1.1;

	private final EngineSpec engine;

	private final List<Candidate> candidates = new ArrayList<>();

	private final List<PlacementGroup> groups;

	/**
	 * Creates the search over the engines of some groups.
	 * @param engine the model engine
	 * @param groups the groups whose engines may be ordered
	 * @param ordered identities of the engines that already have an order
	 */
	GapRepair(EngineSpec engine, List<PlacementGroup> groups, Set<String> ordered) {
		this.engine = engine;
		this.groups = groups;
		for (int group = 0; group < groups.size(); group++) {
			for (EnginePlacement placement : groups.get(group).placements()) {
				if (!placement.orderPending() && !placement.suspected() && !ordered.contains(placement.id())) {
					this.candidates.add(new Candidate(placement, group, maxLayers(engine, placement)));
				}
			}
		}
	}

	/**
	 * Returns the largest number of layers that an engine may hold beside its present
	 * streams.
	 * @param engine the model engine
	 * @param placement the engine
	 * @return the number of layers; may be less than it holds now
	 */
	static int maxLayers(EngineSpec engine, EnginePlacement placement) {
		int held = placement.layers().map(LayerRange::size).orElse(0);
		double cacheMb = placement.streamCount() * engine.usualCacheMbPerLayer() * held;
		double memoryMb = placement.kind().memoryMb();
		double weightsMb = Math.min(MAX_WEIGHT_SHARE * memoryMb, memoryMb - cacheMb);
		return (int) Math.min(Math.max(0, Math.floor(weightsMb / engine.layerMb())),
				engine.maxLayers(placement.kind()));
	}

	/**
	 * Finds the orders that close a gap.
	 * @param gap layers without a replica
	 * @param stopsStreams whether no other engine holds them, so that time matters more
	 * than the number of orders
	 * @return the orders; empty if these engines cannot close the gap
	 */
	Optional<Repair> find(LayerRange gap, boolean stopsStreams) {
		Optional<Repair> repair = find(gap, stopsStreams, true);
		if (repair.isPresent() && (!stopsStreams || repair.get().inTime())) {
			return repair;
		}
		Optional<Repair> other = find(gap, stopsStreams, false);
		return (repair.isEmpty() || (other.isPresent() && other.get().isBetterThan(repair.get()))) ? other : repair;
	}

	// The fastest engine of a layer carries most streams: if it moved, they would be
	// broken off and continue on slower engines.
	private Optional<Repair> find(LayerRange gap, boolean stopsStreams, boolean keepFastest) {
		int targetLayers = (int) (TARGET_LOAD_SECONDS * this.engine.layers() / this.engine.loadSeconds());
		int largestLimit = gap.size() + this.engine.layers();
		// A gap that cannot be closed is tried again in each round.
		if (cover(gap, largestLimit, keepFastest).isEmpty()) {
			return Optional.empty();
		}
		Repair best = null;
		for (int limit = 1; limit <= largestLimit; limit++) {
			boolean inTime = stopsStreams && limit <= targetLayers;
			if (best != null && !inTime && (best.inTime() || limit >= best.cost())) {
				break;
			}
			Optional<List<Step>> steps = cover(gap, limit, keepFastest);
			if (steps.isPresent()) {
				Repair repair = new Repair(steps.get(), inTime);
				best = (best == null || repair.isBetterThan(best)) ? repair : best;
			}
		}
		return Optional.ofNullable(best);
	}

	// Covers the gap from its first layer on, each time with the engine that reaches
	// furthest, which gives the fewest orders.
	private Optional<List<Step>> cover(LayerRange gap, int limit, boolean keepFastest) {
		int[][] loaded = this.groups.stream()
			.map((group) -> group.loadedReplicas().clone())
			.toArray((count) -> new int[count][]);
		List<Step> steps = new ArrayList<>();
		Set<String> used = new HashSet<>();
		int next = gap.from();
		while (next < gap.to()) {
			Step best = null;
			for (Candidate candidate : this.candidates) {
				if (!used.contains(candidate.placement().id())) {
					Step step = step(candidate, next, gap.to(), limit, loaded[candidate.group()], keepFastest);
					best = (step != null && (best == null || Step.BEST_FIRST.compare(step, best) < 0)) ? step : best;
				}
			}
			if (best == null) {
				return Optional.empty();
			}
			EnginePlacement placement = best.candidate().placement();
			used.add(placement.id());
			if (placement.layers().isPresent()) {
				PlacementGroup.release(loaded[best.candidate().group()], placement.layers().get(), best.range());
			}
			steps.add(best);
			next = best.reach();
		}
		return Optional.of(steps);
	}

	// Returns how an engine covers the layers from the given one on as far as possible;
	// null if it cannot.
	private Step step(Candidate candidate, int next, int end, int limit, int[] loaded, boolean keepFastest) {
		if (candidate.maxLayers() == 0) {
			return null;
		}
		LayerRange held = candidate.placement().layers().orElse(null);
		if (held == null || held.size() == 0 || held.to() > loaded.length) {
			int to = next + Math.min(Math.min(limit, candidate.maxLayers()), end - next);
			return (held == null || held.size() == 0) ? new Step(candidate, new LayerRange(next, to), to, to - next, 0)
					: null;
		}
		if (held.to() <= next) {
			int releasable = releasableFromStart(candidate, held, loaded, keepFastest);
			int to = Math.min(Math.min(end, held.to() + limit), held.from() + releasable + candidate.maxLayers());
			int from = Math.max(held.from(), to - candidate.maxLayers());
			if (to > next && from < held.to()) {
				return new Step(candidate, new LayerRange(from, to), to, to - held.to(), from - held.from());
			}
		}
		else if (held.from() >= end && held.from() - next <= limit) {
			int to = Math.min(held.to(), next + candidate.maxLayers());
			if (to > held.from() && to >= held.to() - releasableFromEnd(candidate, held, loaded, keepFastest)) {
				return new Step(candidate, new LayerRange(next, to), end, held.from() - next, held.to() - to);
			}
		}
		if (releasableFromStart(candidate, held, loaded, keepFastest) < held.size()) {
			return null;
		}
		int to = Math.min(end, next + Math.min(limit, candidate.maxLayers()));
		return new Step(candidate, new LayerRange(next, to), to, to - next, held.size());
	}

	private int releasableFromStart(Candidate candidate, LayerRange held, int[] loaded, boolean keepFastest) {
		int count = 0;
		while (count < held.size() && isReleasable(candidate, held.from() + count, loaded, keepFastest)) {
			count++;
		}
		return count;
	}

	private int releasableFromEnd(Candidate candidate, LayerRange held, int[] loaded, boolean keepFastest) {
		int count = 0;
		while (count < held.size() && isReleasable(candidate, held.to() - 1 - count, loaded, keepFastest)) {
			count++;
		}
		return count;
	}

	private boolean isReleasable(Candidate candidate, int layer, int[] loaded, boolean keepFastest) {
		if (loaded[layer] < 2) {
			return false;
		}
		double own = candidate.placement().kind().stepFactor();
		double[] fastest = this.groups.get(candidate.group()).fastestStepFactors(layer);
		double other = (own == fastest[0]) ? fastest[1] : fastest[0];
		return !keepFastest || other <= own * EQUAL_STEP_FACTOR;
	}

	/**
	 * An engine that may be ordered.
	 *
	 * @param placement its layers and streams
	 * @param group index of its group
	 * @param maxLayers largest number of layers that it may hold
	 */
	record Candidate(EnginePlacement placement, int group, int maxLayers) {
	}

	/**
	 * An order that covers a part of a gap.
	 *
	 * @param candidate the engine
	 * @param range the layers to hold
	 * @param reach the layer after the last one of the gap that it covers
	 * @param loadedLayers number of layers that it loads
	 * @param releasedLayers number of layers that it releases
	 */
	record Step(Candidate candidate, LayerRange range, int reach, int loadedLayers, int releasedLayers) {

		/**
		 * The furthest reach first, then least loading and least disturbance. The fastest
		 * engine of a range carries most streams, so slower ones are preferred.
		 */
		static final Comparator<Step> BEST_FIRST = Comparator.comparingInt((Step step) -> -step.reach())
			.thenComparingInt(Step::loadedLayers)
			.thenComparingInt(Step::brokenStreams)
			.thenComparingInt(Step::releasedLayers)
			.thenComparingDouble((step) -> -step.candidate().placement().kind().stepFactor())
			.thenComparing((step) -> step.candidate().placement().id());

		private int brokenStreams() {
			return (this.releasedLayers > 0) ? this.candidate.placement().streamCount() : 0;
		}

	}

	/**
	 * Orders that close a gap.
	 *
	 * @param steps the orders
	 * @param inTime whether loading ends within the target, where time matters most
	 */
	record Repair(List<Step> steps, boolean inTime) {

		int cost() {
			return loadedLayers() + ORDER_COST_LAYERS * this.steps.size();
		}

		/**
		 * Returns the number of layers that the slowest of the orders loads.
		 * @return the number of layers, which determines the time until the gap is closed
		 */
		int loadedLayers() {
			return this.steps.stream().mapToInt(Step::loadedLayers).max().orElse(0);
		}

		boolean isBetterThan(Repair other) {
			if (this.inTime != other.inTime) {
				return this.inTime;
			}
			Comparator<Repair> byOrders = Comparator.comparingInt((repair) -> repair.steps().size());
			Comparator<Repair> byCost = Comparator.comparingInt(Repair::cost);
			return ((this.inTime) ? byOrders.thenComparing(byCost) : byCost.thenComparing(byOrders)).compare(this,
					other) < 0;
		}

	}

}
