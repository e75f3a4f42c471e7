package org.comfreyslip.routing.placement;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.Set;

import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import org.comfreyslip.routing.placement.PlacementOrder.LoadAdapter;
import org.comfreyslip.routing.placement.PlacementOrder.LoadRange;
import org.comfreyslip.routing.placement.PlacementOrder.UnloadAdapter;
import org.comfreyslip.routing.topology.LayerRange;
import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Guards against layers that lose their last serving engine, more concurrent loads than
 * the weight store's rate allows, and engines that are moved back and forth.
 */
class PlacementPlannerTests {

	private static final long SECOND = 1_000_000_000;

	private final PlacementPlanner planner = new PlacementPlanner(2);

	@Test
	void anEngineMovesOnlyAfterDemandHasBeenHighForAWhile() {
		List<PlacementEngine> engines = List.of(engine("a1", "a"), engine("b1", "b"), engine("b2", "b"));
		List<PlacementTarget> targets = List.of(target("a", "1", 95), target("b", "1", 10));
		assertThat(this.planner.decide(targets, engines, 0)).isEmpty();
		assertThat(this.planner.decide(targets, engines, 59 * SECOND)).isEmpty();
		assertThat(this.planner.decide(targets, engines, 60 * SECOND)).singleElement()
			.satisfies((order) -> assertThat(order)
				.isEqualTo(new LoadRange("b1", "a", "1", new LayerRange(0, 10), PlacementReason.DEMAND)));
	}

	@Test
	void anEngineIsNotMovedBackAtOnce() {
		List<PlacementTarget> targets = List.of(target("a", "1", 10), target("b", "1", 95));
		List<PlacementEngine> engines = List.of(engine("a1", "a"), engine("a2", "a"), engine("b1", "b"));
		this.planner.decide(targets, engines, 0);
		assertThat(this.planner.decide(targets, engines, 60 * SECOND)).hasSize(1);
		List<PlacementEngine> moved = List.of(engine("a1", "b"), engine("a2", "a"), engine("b1", "b"));
		List<PlacementTarget> reversed = List.of(target("a", "1", 95), target("b", "1", 10));
		this.planner.decide(reversed, moved, 70 * SECOND);
		assertThat(this.planner.decide(reversed, moved, 140 * SECOND)).extracting(PlacementOrder::engine)
			.doesNotContain("a1");
	}

	@Test
	void theOnlyServingEngineOfALayerIsNotGivenAnotherVersion() {
		List<PlacementTarget> targets = List.of(target("a", "2", 1));
		assertThat(this.planner.decide(targets, List.of(engine("a1", "a")), 0)).isEmpty();
		List<PlacementEngine> two = List.of(engine("a1", "a"), engine("a2", "a"));
		assertThat(this.planner.decide(targets, two, 0)).extracting(PlacementOrder::engine).containsExactly("a1");
		assertThat(this.planner.decide(targets, two, SECOND)).as("a1 still reports its old state").isEmpty();
	}

	@Test
	void uncoveredLayersAreLoadedWithoutDelay() {
		List<PlacementTarget> targets = List.of(target("a", "1", 1), target("b", "1", 1));
		List<PlacementEngine> engines = List.of(engine("b1", "b"), engine("b2", "b"));
		assertThat(this.planner.decide(targets, engines, 0))
			.containsExactly(new LoadRange("b1", "a", "1", new LayerRange(0, 10), PlacementReason.UNCOVERED));
	}

	@Test
	void anOldAdapterIsUnloadedOnlyAfterTheNewOneIsLoaded() {
		PlacementTarget target = new PlacementTarget("a", 10, "1", Set.of("new"), 1);
		assertThat(this.planner.decide(List.of(target), List.of(engine("a1", "a", Set.of("old"))), 0))
			.containsExactly(new LoadAdapter("a1", "new"));
		assertThat(this.planner.decide(List.of(target), List.of(engine("a1", "a", Set.of("old", "new"))), SECOND))
			.containsExactly(new UnloadAdapter("a1", "old"));
	}

	@Property(tries = 200, seed = "41")
	void noLayerLosesItsLastServingEngineAndLoadsStayWithinTheRate(@ForAll long seed) {
		Random random = new Random(seed);
		PlacementPlanner subject = new PlacementPlanner(3);
		Map<String, PlacementEngine> engines = new HashMap<>();
		Map<String, LoadRange> loading = new HashMap<>();
		for (int i = 0; i < 12; i++) {
			engines.put("e" + i, engine("e" + i, "abc".substring(i % 3, i % 3 + 1)));
		}
		for (long now = 0; now < 3_000 * SECOND; now += 20 * SECOND) {
			String version = (now < 1_500 * SECOND) ? "1" : "2";
			List<PlacementTarget> targets = new ArrayList<>();
			for (String model : List.of("a", "b", "c")) {
				targets.add(target(model, version, random.nextInt(300)));
			}
			for (PlacementOrder order : subject.decide(targets, List.copyOf(engines.values()), now)) {
				loading.put(order.engine(), (LoadRange) order);
			}
			assertThat(loading).hasSizeLessThanOrEqualTo(3);
			Set<String> served = new HashSet<>();
			engines.values()
				.stream()
				.filter((engine) -> !loading.containsKey(engine.name()))
				.forEach((engine) -> served.add(engine.model()));
			assertThat(served).containsExactlyInAnyOrder("a", "b", "c");
			for (LoadRange order : List.copyOf(loading.values())) {
				if (random.nextInt(3) == 0) {
					loading.remove(order.engine());
					engines.put(order.engine(), new PlacementEngine(order.engine(), order.model(), order.version(),
							order.layers(), Set.of(), true, 1_000, 10));
				}
			}
		}
	}

	private static PlacementEngine engine(String name, String model) {
		return engine(name, model, Set.of());
	}

	private static PlacementEngine engine(String name, String model, Set<String> adapters) {
		return new PlacementEngine(name, model, "1", new LayerRange(0, 10), adapters, true, 1_000, 10);
	}

	private static PlacementTarget target(String model, String version, double demand) {
		return new PlacementTarget(model, 10, version, Set.of(), demand);
	}

}
