package org.comfreyslip.entry.layers;

import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Random;

import org.comfreyslip.entry.Samples;
import org.comfreyslip.entry.layers.LayerPlanner.EnginePlacement;
import org.comfreyslip.entry.layers.PlacementLossTests.Fleet;
import org.comfreyslip.entry.model.AcceleratorKind;
import org.comfreyslip.entry.model.LayerRange;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Tests of {@link Strengthening}. They guard against layers that depend on one engine
 * while others have memory for them, and against orders that cost callers more than a
 * further replica is worth.
 */
class PlacementStrengtheningTests {

	private static EnginePlacement engine(String id, AcceleratorKind kind, int from, int to) {
		return new EnginePlacement(id, "a", kind, Optional.of(new LayerRange(from, to)), false, 0);
	}

	private static Map<String, LayerRange> plan(EnginePlacement... engines) {
		return LayerPlanner.planRound(Samples.engine(), List.of(engines));
	}

	@Test
	void layersOfASingleEngineAreAddedToANeighbourThatHasMemoryForThem() {
		assertThat(plan(engine("left", Samples.MIDDLE, 0, 10), engine("left-2", Samples.MIDDLE, 0, 11),
				engine("middle", Samples.MIDDLE, 8, 17), engine("right", Samples.FAST, 15, 48),
				engine("right-2", Samples.FAST, 15, 49), engine("end", Samples.FAST, 48, 80),
				engine("end-2", Samples.FAST, 49, 80)))
			.hasSize(1)
			.containsEntry("left-2", new LayerRange(0, 15));
	}

	// Both would be lost together by whatever overloads that range.
	@Test
	void layersOfEnginesWithTheSameRangeAreAddedToAnEngineWithAnother() {
		assertThat(plan(engine("same", Samples.SMALL, 36, 40), engine("same-2", Samples.SMALL, 36, 40),
				engine("left", Samples.FAST, 0, 36), engine("left-2", Samples.FAST, 0, 35),
				engine("left-3", Samples.MIDDLE, 24, 36), engine("right", Samples.FAST, 40, 77),
				engine("right-2", Samples.FAST, 40, 76), engine("end", Samples.MIDDLE, 70, 80),
				engine("end-2", Samples.MIDDLE, 69, 80)))
			.hasSize(1)
			.containsEntry("left-3", new LayerRange(24, 40));
	}

	// Only "end" holds its own layers; with less cache for them fewer streams fit.
	@Test
	void nothingIsOrderedThatLowersTheNumberOfStreamsThatADataCentreCanCarry() {
		assertThat(plan(engine("start", Samples.FAST, 0, 32), engine("start-2", Samples.FAST, 0, 31),
				engine("middle", Samples.FAST, 31, 62), engine("middle-2", Samples.FAST, 30, 62),
				engine("slow", Samples.SLOW, 62, 70), engine("end", Samples.MIDDLE, 70, 80)))
			.doesNotContainKey("end");
	}

	@Test
	void nothingIsOrderedOfAnEngineWhoseMemoryItsStreamsNeed() {
		EnginePlacement[] engines = { engine("left", Samples.MIDDLE, 0, 10), busy("left-2", 0, 9),
				engine("middle", Samples.SMALL, 10, 15), engine("right", Samples.FAST, 15, 51),
				engine("right-2", Samples.FAST, 15, 50), engine("end", Samples.FAST, 48, 80),
				engine("end-2", Samples.FAST, 47, 80) };
		assertThat(plan(engines)).containsOnlyKeys("left");
		engines[0] = busy("left", 0, 10);
		assertThat(plan(engines)).doesNotContainKeys("left", "left-2");
	}

	private static EnginePlacement busy(String id, int from, int to) {
		double freeMb = Samples.MIDDLE.memoryMb() - (to - from) * Samples.engine().layerMb();
		int streams = (int) (freeMb / (Samples.engine().usualCacheMbPerLayer() * (to - from)));
		return new EnginePlacement(id, "a", Samples.MIDDLE, Optional.of(new LayerRange(from, to)), false, streams);
	}

	// The fastest engine carries most streams; with less cache they go to slower ones.
	@Test
	void engineThatIsFasterThanOthersKeepsCacheForAllStreams() {
		assertThat(plan(engine("fast", Samples.FAST, 0, 28), engine("slow", Samples.SLOW, 0, 9),
				engine("slow-2", Samples.SLOW, 9, 18), engine("slow-3", Samples.SLOW, 18, 27),
				engine("middle", Samples.MIDDLE, 28, 35), engine("rest", Samples.FAST, 35, 72),
				engine("rest-2", Samples.FAST, 35, 71), engine("end", Samples.FAST, 66, 80),
				engine("end-2", Samples.FAST, 67, 80)))
			.doesNotContainKey("fast");
	}

	@Test
	void nothingIsOrderedWhileAnotherOrderOfTheDataCentreIsOpenOrAnEngineDoesNotRespond() {
		EnginePlacement[] engines = { engine("left", Samples.MIDDLE, 0, 10), engine("left-2", Samples.MIDDLE, 0, 11),
				engine("middle", Samples.MIDDLE, 8, 17), engine("right", Samples.FAST, 15, 48),
				engine("right-2", Samples.FAST, 15, 49), engine("end", Samples.FAST, 48, 80),
				engine("end-2", Samples.FAST, 49, 80) };
		EnginePlacement end = engines[6];
		engines[6] = new EnginePlacement("end-2", "a", end.kind(), end.layers(), true, 0);
		assertThat(plan(engines)).isEmpty();
		engines[6] = new EnginePlacement("end-2", "a", end.kind(), end.layers(), false, 0, true);
		assertThat(plan(engines)).isEmpty();
	}

	// Guards against orders that are given again and again, and against plans that get
	// worse step by step.
	@ParameterizedTest
	@EnumSource
	void planComesToRestWithFewerLayersAtRiskAndAllOfItsStreams(Fleet fleet) {
		for (int seed = 1; seed <= 20; seed++) {
			List<EnginePlacement> engines = apply(fleet.empty(), LayerPlanner.plan(fleet.engine(), fleet.empty()));
			Collections.shuffle(engines, new Random(seed));
			engines = engines.subList(engines.size() / 7, engines.size());
			for (Map<String, LayerRange> orders = LayerPlanner.plan(fleet.engine(), engines); !orders
				.isEmpty(); orders = LayerPlanner.plan(fleet.engine(), engines)) {
				engines = apply(engines, orders);
			}
			int ordersLeft = 80;
			LayerPlanner.PlannedOrders round = LayerPlanner.planRoundWithCauses(fleet.engine(), engines);
			while (!round.ranges().isEmpty()) {
				assertThat(round.causes().values()).containsOnly(LayerPlanner.OrderCause.AT_RISK);
				List<EnginePlacement> after = apply(engines, round.ranges());
				assertThat(streamsByDataCentre(fleet, after)).zipSatisfy(streamsByDataCentre(fleet, engines),
						(streams, before) -> assertThat(streams).isGreaterThanOrEqualTo(before));
				for (EnginePlacement one : after) {
					assertThat(one.layers().orElseThrow().size())
						.isLessThanOrEqualTo(fleet.engine().maxLayers(one.kind()));
				}
				LayerPlanner.PlannedOrders next = LayerPlanner.planRoundWithCauses(fleet.engine(), after);
				assertThat(next.layersAtRisk()).isLessThan(round.layersAtRisk());
				assertThat(ordersLeft).as("orders left with seed %s", seed).isPositive();
				ordersLeft -= round.ranges().size();
				engines = after;
				round = next;
			}
		}
	}

	private static List<Integer> streamsByDataCentre(Fleet fleet, List<EnginePlacement> engines) {
		return LayerPlanner.groupByDataCentre(fleet.engine(), engines)
			.stream()
			.map((group) -> StreamCapacity.of(fleet.engine(), group).streams())
			.toList();
	}

	private static List<EnginePlacement> apply(List<EnginePlacement> engines, Map<String, LayerRange> orders) {
		return new ArrayList<>(engines.stream()
			.map((one) -> new EnginePlacement(one.id(), one.dataCentre(), one.kind(),
					Optional.ofNullable(orders.getOrDefault(one.id(), one.layers().orElse(null))), false, 0))
			.toList());
	}

}
