package org.comfreyslip.settings;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.TreeSet;

import org.comfreyslip.routing.topology.LayerRange;

/**
 * Finds models whose layers are not covered by engines, and engines with layers beyond
 * the last one of their model. The layer ranges of a path must join without gap or
 * overlap, so overlapping ranges alone do not cover a model.
 */
final class LayerCheck {

	private final CheckedText text;

	private final FaultList faults;

	private final Map<String, List<CheckedSection>> enginesByModel = new HashMap<>();

	LayerCheck(CheckedText text, FaultList faults) {
		this.text = text;
		this.faults = faults;
	}

	void run() {
		for (CheckedSection engine : this.text.sections(OperatorTextSchema.ENGINE)) {
			engine.find("model")
				.ifPresent(
						(model) -> this.enginesByModel.computeIfAbsent(model, (key) -> new ArrayList<>()).add(engine));
		}
		for (CheckedSection model : this.text.sections(OperatorTextSchema.MODEL)) {
			model.find("layers").map(Integer::parseInt).ifPresent((layers) -> checkModel(model, layers));
		}
	}

	private void checkModel(CheckedSection model, int layers) {
		List<CheckedSection> engines = this.enginesByModel.getOrDefault(model.name(), List.of());
		List<LayerRange> ranges = new ArrayList<>();
		boolean allRangesKnown = true;
		for (CheckedSection engine : engines) {
			if (engine.find("layers").isEmpty()) {
				// The missing or invalid range is reported already; a gap may only be its
				// consequence.
				allRangesKnown = false;
				continue;
			}
			LayerRange range = OperatorText.toLayerRange(engine.requireText("layers"));
			ranges.add(range);
			checkRangeEnd(engine, range, model, layers);
		}
		if (allRangesKnown) {
			checkCoverage(model, ranges, layers);
		}
	}

	private void checkRangeEnd(CheckedSection engine, LayerRange range, CheckedSection model, int layers) {
		if (range.end() > layers) {
			this.faults.add(engine.header(), "layers", range.toString(),
					"layers 0-" + layers + " of model " + model.name(),
					"correct the range or the model's number of layers");
		}
	}

	private void checkCoverage(CheckedSection model, List<LayerRange> ranges, int layers) {
		TreeSet<Integer> reachableEnds = findReachableEnds(ranges);
		if (reachableEnds.contains(layers)) {
			return;
		}
		Integer lastEnd = reachableEnds.lower(layers);
		this.faults.add(model.header(), "layers",
				"no set of engines for all layers; ranges join from 0 up to " + lastEnd + " of " + layers,
				"engines whose ranges join without gap or overlap from 0 to " + layers,
				"add an engine for layers " + lastEnd + "-" + layers + " or correct the ranges");
	}

	private static TreeSet<Integer> findReachableEnds(List<LayerRange> ranges) {
		TreeMap<Integer, TreeSet<Integer>> endsByFirst = new TreeMap<>();
		ranges
			.forEach((range) -> endsByFirst.computeIfAbsent(range.first(), (key) -> new TreeSet<>()).add(range.end()));
		TreeSet<Integer> reachableEnds = new TreeSet<>();
		reachableEnds.add(0);
		endsByFirst.forEach((first, ends) -> {
			if (reachableEnds.contains(first)) {
				reachableEnds.addAll(ends);
			}
		});
		return reachableEnds;
	}

}
