package org.comfreyslip.entry.layers;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.TreeSet;

import org.comfreyslip.entry.Samples;
import org.comfreyslip.entry.model.AcceleratorKind;
import org.comfreyslip.entry.model.Endpoint;
import org.comfreyslip.entry.model.EngineSpec;
import org.comfreyslip.entry.model.LayerRange;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.within;

/**
 * Tests that {@link PathFinder} finds the cheapest of all paths of a small deployment,
 * which a search of all of them confirms.
 */
class PathCostTests {

	private static final double TOLERANCE_MS = 1e-9;

	private final EngineSpec engine = Samples.engine();

	@ParameterizedTest
	@ValueSource(longs = { 1, 2, 3, 4, 5, 6, 7, 8, 9, 10, 11, 12, 13, 14, 15, 16, 17, 18, 19, 20 })
	void thePathHasTheLeastCostOfAllPathsInItsDataCentre(long seed) {
		SplittableRandom random = new SplittableRandom(seed);
		List<Endpoint> endpoints = new ArrayList<>();
		for (int index = 0; index < 14; index++) {
			int from = 10 * random.nextInt(8);
			int to = Math.min(80, from + 10 * (1 + random.nextInt(2)));
			endpoints.add(Samples.endpoint("e" + index, "a", random.nextBoolean() ? Samples.FAST : Samples.MIDDLE,
					new LayerRange(from, to)));
		}
		EngineSlowdowns slowdowns = new EngineSlowdowns();
		for (Endpoint endpoint : endpoints) {
			slowdowns.recordPeerReport(endpoint.id(), 1 + 3 * random.nextDouble(), 0);
		}
		Optional<LayerPath> found = new PathFinder(this.engine, new LayerLoads(new SplittableRandom(1)), slowdowns)
			.find(endpoints, "a", 100, (first) -> true, 0);
		double least = leastCostFrom(0, Set.of(), endpoints, slowdowns);
		assertThat(found.isPresent()).isEqualTo(least < Double.MAX_VALUE);
		found.ifPresent((path) -> assertThat(path.expectedTokenMs()).isCloseTo(least, within(TOLERANCE_MS)));
	}

	// Returns the least cost of the layers from a boundary on without the endpoints that
	// have run a stage; the largest value if there is no path.
	private double leastCostFrom(int from, Set<Integer> used, List<Endpoint> endpoints, EngineSlowdowns slowdowns) {
		if (from == this.engine.layers()) {
			return 0;
		}
		double least = Double.MAX_VALUE;
		for (int index = 0; index < endpoints.size(); index++) {
			LayerRange held = endpoints.get(index).layers().orElseThrow();
			if (used.contains(index) || !held.contains(from)) {
				continue;
			}
			for (int to : boundaries(endpoints)) {
				if (to > from && to <= held.to()) {
					double rest = leastCostFrom(to, with(used, index), endpoints, slowdowns);
					double cost = ((used.isEmpty()) ? 0 : PathFinder.HANDOFF_MS)
							+ (to - from) * layerMs(endpoints.get(index), slowdowns);
					least = (rest < Double.MAX_VALUE) ? Math.min(least, cost + rest) : least;
				}
			}
		}
		return least;
	}

	private static Set<Integer> with(Set<Integer> used, int index) {
		Set<Integer> all = new HashSet<>(used);
		all.add(index);
		return all;
	}

	private static TreeSet<Integer> boundaries(List<Endpoint> endpoints) {
		TreeSet<Integer> all = new TreeSet<>(List.of(0, 80));
		endpoints.forEach((endpoint) -> {
			all.add(endpoint.layers().orElseThrow().from());
			all.add(endpoint.layers().orElseThrow().to());
		});
		return all;
	}

	// Returns the time per layer of an engine without load.
	private double layerMs(Endpoint endpoint, EngineSlowdowns slowdowns) {
		Map<String, AcceleratorKind> kinds = this.engine.kinds();
		AcceleratorKind kind = kinds.get(endpoint.accelerator().orElseThrow());
		double promptMs = this.engine.meanPromptTokens() / this.engine.prefillTokensPerMs()
				/ this.engine.meanResponseTokens();
		return slowdowns.slowdownFactor(endpoint.id(), 0)
				* (kind.stepFactor() * this.engine.stepMs() + kind.prefillFactor() * promptMs) / this.engine.layers();
	}

}
