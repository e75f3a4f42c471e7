package org.comfreyslip.entry.layers;

import java.util.Comparator;
import java.util.List;
import java.util.Optional;
import java.util.stream.IntStream;
import java.util.stream.Stream;

import org.comfreyslip.entry.layers.LayerPlanner.EnginePlacement;
import org.comfreyslip.entry.model.EngineSpec;
import org.comfreyslip.entry.model.LayerRange;

/**
 * Gives layers at risk one more replica. A layer is at risk in a group of engines if only
 * one of them that responds holds it, or only engines that hold the same range. The load
 * that it addresses is the loss of engines that share a layer, which leaves no path
 * through the group until a repair has loaded the layer.
 * <p>
 * An engine is only extended, and only if fewer layers of the group are at risk
 * afterwards, so that a plan comes to rest after at most as many orders as the model has
 * layers.
 */
final class Strengthening {

	private final EngineSpec engine;

	private final PlacementGroup group;

	private final boolean[] atRisk;

	/** Layers at risk that several engines hold, all with the same range. */
	private final boolean[] heldBySameRange;

	/**
	 * Creates the decision for a group.
	 * @param engine the model engine
	 * @param group the group, usually a data centre
	 */
	Strengthening(EngineSpec engine, PlacementGroup group) {
		this.engine = engine;
		this.group = group;
		this.atRisk = findAtRisk(null, null);
		this.heldBySameRange = new boolean[engine.layers()];
		for (int layer = 0; layer < this.heldBySameRange.length; layer++) {
			this.heldBySameRange[layer] = this.atRisk[layer] && group.replicas()[layer] > 1;
		}
	}

	/**
	 * Returns the number of layers at risk.
	 * @return the number of layers; layers without a replica are not counted
	 */
	int atRiskCount() {
		return count(this.atRisk);
	}

	/**
	 * Finds the extension of one engine that gives layers at risk one more replica.
	 * @return the extension; empty if no layer is at risk, if a layer is missing, if an
	 * order to an engine of the group is in progress, if an engine does not respond (it
	 * is known to be lost or back soon), or if no engine can be extended beside its
	 * streams without lowering the number of streams that the group can carry
	 */
	Optional<Extension> find() {
		List<EnginePlacement> placements = this.group.placements();
		if (atRiskCount() == 0 || IntStream.of(this.group.replicas()).anyMatch((count) -> count == 0)
				|| placements.stream().anyMatch((placement) -> placement.orderPending() || placement.suspected())) {
			return Optional.empty();
		}
		List<EnginePlacement> inReach = placements.stream().filter(this::reachesLayersAtRisk).toList();
		if (inReach.isEmpty()) {
			return Optional.empty();
		}
		StreamCapacity capacity = StreamCapacity.of(this.engine, placements);
		int streams = capacity.streams();
		return inReach.stream()
			.flatMap((placement) -> extensions(placement, largestSize(placement, streams)))
			.sorted(Extension.BEST_FIRST)
			.filter((extension) -> capacity.with(extension.placement(), extension.range()).carries(streams))
			.findFirst();
	}

	// Excludes most engines of a large group before their extensions are compared.
	private boolean reachesLayersAtRisk(EnginePlacement placement) {
		LayerRange held = placement.layers().orElse(new LayerRange(0, 0));
		int room = GapRepair.maxLayers(this.engine, placement) - held.size();
		return held.size() > 0 && held.to() <= this.engine.layers()
				&& IntStream.rangeClosed(1, room)
					.anyMatch((step) -> isAtRisk(held.from() - step) || isAtRisk(held.to() + step - 1))
				&& IntStream.range(held.from(), held.to()).noneMatch((layer) -> this.heldBySameRange[layer]);
	}

	// Streams that an engine has no cache for after an extension go to the other engines
	// that hold its layers. If one of them is slower, the engine keeps cache for all
	// streams that the group can carry, so that their time per token does not increase.
	private int largestSize(EnginePlacement placement, int streams) {
		int size = GapRepair.maxLayers(this.engine, placement);
		LayerRange held = placement.layers().orElseThrow();
		boolean spillsToSlower = this.group.placements()
			.stream()
			.filter((other) -> other.kind().stepFactor() > GapRepair.EQUAL_STEP_FACTOR * placement.kind().stepFactor())
			.flatMap((other) -> other.layers().stream())
			.anyMatch((range) -> range.from() < held.to() && range.to() > held.from());
		while (spillsToSlower && size > held.size()
				&& StreamCapacity.streamLayers(this.engine, placement.kind(), size) < (double) streams * size) {
			size--;
		}
		return size;
	}

	// An engine can be extended in both directions, each time up to the end of the next
	// layers at risk or as far as its memory allows.
	private Stream<Extension> extensions(EnginePlacement placement, int largestSize) {
		LayerRange held = placement.layers().orElseThrow();
		int room = largestSize - held.size();
		if (room <= 0) {
			return Stream.empty();
		}
		int to = held.to();
		while (to < this.engine.layers() && (isAtRisk(to) || !isAtRisk(to - 1) || to == held.to())) {
			to++;
		}
		int from = held.from();
		while (from > 0 && (isAtRisk(from - 1) || !isAtRisk(from) || from == held.from())) {
			from--;
		}
		return Stream
			.of(new LayerRange(held.from(), Math.min(to, held.to() + room)),
					new LayerRange(Math.max(from, held.from() - room), held.to()))
			.map((range) -> new Extension(placement, range, atRiskCount() - count(findAtRisk(placement, range)),
					range.size() - held.size()))
			.filter(this::isWorthAnOrder);
	}

	// An order costs as much as loading a few layers. A part of adjacent layers at risk
	// only shortens a repair; all of them leave a path.
	private boolean isWorthAnOrder(Extension extension) {
		LayerRange range = extension.range();
		boolean complete = !isAtRisk(range.from() - 1) || range.from() == heldFrom(extension);
		complete &= !isAtRisk(range.to()) || range.to() == heldTo(extension);
		return extension.strengthenedLayers() > ((complete) ? 0 : GapRepair.ORDER_COST_LAYERS);
	}

	private static int heldFrom(Extension extension) {
		return extension.placement().layers().orElseThrow().from();
	}

	private static int heldTo(Extension extension) {
		return extension.placement().layers().orElseThrow().to();
	}

	private boolean isAtRisk(int layer) {
		return layer >= 0 && layer < this.atRisk.length && this.atRisk[layer];
	}

	// Finds the layers at risk if one engine held another range.
	private boolean[] findAtRisk(EnginePlacement changed, LayerRange changedRange) {
		LayerRange[] holders = new LayerRange[this.engine.layers()];
		boolean[] found = new boolean[this.engine.layers()];
		boolean[] safe = new boolean[this.engine.layers()];
		for (EnginePlacement placement : this.group.placements()) {
			if (placement.layers().isPresent() && !placement.suspected()) {
				LayerRange range = (placement == changed) ? changedRange : placement.layers().get();
				for (int layer = range.from(); layer < Math.min(range.to(), holders.length); layer++) {
					safe[layer] |= holders[layer] != null && !holders[layer].equals(range);
					holders[layer] = range;
					found[layer] = !safe[layer];
				}
			}
		}
		return found;
	}

	private static int count(boolean[] layers) {
		return (int) IntStream.range(0, layers.length).filter((layer) -> layers[layer]).count();
	}

	/**
	 * An engine that holds more layers than before.
	 *
	 * @param placement the engine as it is now
	 * @param range the layers to hold
	 * @param strengthenedLayers number of layers that are no longer at risk
	 * @param loadedLayers number of layers that it loads
	 */
	record Extension(EnginePlacement placement, LayerRange range, int strengthenedLayers, int loadedLayers) {

		/**
		 * The most layers for what is loaded first, then least disturbance. The fastest
		 * engines carry most streams, so slower ones are preferred.
		 */
		static final Comparator<Extension> BEST_FIRST = Comparator
			.comparingDouble((Extension extension) -> -extension.strengthenedLayers()
					/ (double) (GapRepair.ORDER_COST_LAYERS + extension.loadedLayers()))
			.thenComparingInt((extension) -> extension.placement().streamCount())
			.thenComparingDouble((extension) -> -extension.placement().kind().stepFactor())
			.thenComparing((extension) -> extension.placement().id());

	}

}
