package org.comfreyslip.daemon.order;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;

import org.comfreyslip.clients.engine.EngineState;
import org.comfreyslip.routing.placement.PlacementEngine;
import org.comfreyslip.routing.placement.PlacementTarget;
import org.comfreyslip.routing.topology.EngineSpec;
import org.comfreyslip.routing.topology.KindSpec;
import org.comfreyslip.routing.topology.LayerRange;
import org.comfreyslip.routing.topology.ModelSpec;
import org.comfreyslip.routing.topology.Topology;

/**
 * Creates the inputs of the placement planner: the desired state from the configuration
 * and the actual state from the engines. Routing relies on the layer ranges of the
 * configuration. Therefore only engines that hold the configured model and layer range
 * are included, and only models whose layers these engines cover. The planner then orders
 * no other ranges.
 */
final class PlacementInputs {

	private static final double MICROS_PER_SECOND = 1_000_000;

	private PlacementInputs() {
	}

	static List<PlacementEngine> engines(Topology topology, Map<String, EngineState> states, Set<String> unusable) {
		Map<String, KindSpec> kinds = new HashMap<>();
		topology.kinds().forEach((kind) -> kinds.put(kind.name(), kind));
		List<PlacementEngine> engines = new ArrayList<>();
		for (EngineSpec spec : topology.engines()) {
			Optional.ofNullable(states.get(spec.name()))
				.filter((state) -> isAsConfigured(spec, state))
				.map((state) -> engine(spec, state, kinds.get(spec.kind()), !unusable.contains(spec.name())))
				.ifPresent(engines::add);
		}
		return engines;
	}

	static List<PlacementTarget> targets(Topology topology, List<PlacementEngine> engines) {
		return topology.models()
			.stream()
			.filter((model) -> isCovered(model, engines))
			.map((model) -> new PlacementTarget(model.name(), model.layers(), model.version(),
					Set.copyOf(model.adapters()), 0))
			.toList();
	}

	private static PlacementEngine engine(EngineSpec spec, EngineState state, KindSpec kind, boolean serving) {
		return new PlacementEngine(spec.name(), spec.model(), state.version(), spec.layers(),
				Set.copyOf(state.adapters()), serving, MICROS_PER_SECOND / kind.layerMicros(), spec.layers().count());
	}

	private static boolean isAsConfigured(EngineSpec spec, EngineState state) {
		return spec.model().equals(state.model()) && state.endLayer() > state.firstLayer()
				&& spec.layers().equals(new LayerRange(state.firstLayer(), state.endLayer()));
	}

	private static boolean isCovered(ModelSpec model, List<PlacementEngine> engines) {
		Set<Integer> covered = new HashSet<>();
		for (PlacementEngine engine : engines) {
			for (int i = engine.layers().first(); engine.model().equals(model.name())
					&& i < engine.layers().end(); i++) {
				covered.add(i);
			}
		}
		return covered.size() >= model.layers();
	}

}
