package org.comfreyslip.entry.layers;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;

import org.comfreyslip.entry.Samples;
import org.comfreyslip.entry.model.AcceleratorKind;
import org.comfreyslip.entry.model.EngineSpec;
import org.comfreyslip.entry.model.LayerRange;
import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Tests for {@link LayerPlanner}. They guard against layers without a holder, orders that
 * exceed a host's memory, and chains of moves after one loss.
 */
class LayerPlannerTests {

	private final EngineSpec engine = Samples.engine();

	private static LayerPlanner.Holder holder(String id, String dataCentre, AcceleratorKind kind, LayerRange layers) {
		return new LayerPlanner.Holder(id, dataCentre, kind, Optional.ofNullable(layers), false, 0);
	}

	private static List<LayerPlanner.Holder> fleet() {
		List<LayerPlanner.Holder> fleet = new ArrayList<>();
		add(fleet, "a", Samples.MIDDLE, 1);
		add(fleet, "a", Samples.SLOW, 8);
		add(fleet, "a", Samples.SMALL, 3);
		add(fleet, "b", Samples.MIDDLE, 2);
		add(fleet, "b", Samples.SLOW, 4);
		add(fleet, "b", Samples.SMALL, 7);
		add(fleet, "c", Samples.FAST, 1);
		add(fleet, "c", Samples.MIDDLE, 1);
		add(fleet, "c", Samples.SLOW, 5);
		add(fleet, "c", Samples.SMALL, 7);
		return fleet;
	}

	private static void add(List<LayerPlanner.Holder> fleet, String dataCentre, AcceleratorKind kind, int count) {
		for (int index = 0; index < count; index++) {
			fleet.add(holder(dataCentre + "-" + kind.name() + "-" + index, dataCentre, kind, null));
		}
	}

	private static List<LayerPlanner.Holder> placed(List<LayerPlanner.Holder> fleet, Map<String, LayerRange> orders) {
		return fleet.stream()
			.map((one) -> holder(one.id(), one.dataCentre(), one.kind(),
					orders.getOrDefault(one.id(), one.layers().orElse(null))))
			.toList();
	}

	private static int[] copies(List<LayerPlanner.Holder> fleet, String dataCentre) {
		int[] copies = new int[80];
		for (LayerPlanner.Holder holder : fleet) {
			if (holder.dataCentre().equals(dataCentre)) {
				holder.layers().ifPresent((range) -> {
					for (int layer = range.from(); layer < range.to(); layer++) {
						copies[layer]++;
					}
				});
			}
		}
		return copies;
	}

	@Test
	void eachDataCentreThatCanHoldTheModelHoldsAllLayers() {
		List<LayerPlanner.Holder> placed = placed(fleet(), LayerPlanner.plan(this.engine, fleet()));
		for (String dataCentre : List.of("a", "b", "c")) {
			assertThat(copies(placed, dataCentre)).doesNotContain(0);
		}
	}

	@Test
	void noHostIsOrderedToHoldMoreThanItsMemory() {
		Map<String, LayerRange> orders = LayerPlanner.plan(this.engine, fleet());
		for (LayerPlanner.Holder holder : fleet()) {
			double weightsMb = orders.get(holder.id()).size() * this.engine.layerMb();
			assertThat(weightsMb).isLessThan(holder.kind().memoryMb());
		}
	}

	@Test
	void aPlacementThatStandsIsLeftAlone() {
		List<LayerPlanner.Holder> placed = placed(fleet(), LayerPlanner.plan(this.engine, fleet()));
		assertThat(LayerPlanner.plan(this.engine, placed)).isEmpty();
	}

	@Test
	void theLossOfOneHostMovesOnlyHostsWhoseLayersOthersHoldToo() {
		List<LayerPlanner.Holder> placed = placed(fleet(), LayerPlanner.plan(this.engine, fleet()));
		for (LayerPlanner.Holder lost : placed) {
			List<LayerPlanner.Holder> left = placed.stream().filter((one) -> !one.equals(lost)).toList();
			Map<String, LayerRange> moves = LayerPlanner.plan(this.engine, left);
			int[] before = copies(left, lost.dataCentre());
			int[] after = copies(placed(left, moves), lost.dataCentre());
			for (int layer = 0; layer < after.length; layer++) {
				assertThat(after[layer] > 0 || before[layer] == 0).isTrue();
			}
			assertThat(moves.size()).isLessThanOrEqualTo(3);
		}
	}

	@Test
	void aCopyThatIsStillBeingLoadedDoesNotFreeAnotherHolder() {
		List<LayerPlanner.Holder> hosts = new ArrayList<>();
		hosts.add(new LayerPlanner.Holder("loading", "a", Samples.FAST, Optional.of(new LayerRange(0, 33)), true, 0));
		hosts.add(holder("holding", "a", Samples.FAST, new LayerRange(0, 33)));
		hosts.add(holder("rest", "a", Samples.FAST, new LayerRange(33, 66)));
		assertThat(LayerPlanner.plan(this.engine, hosts)).doesNotContainKey("holding");
		hosts.set(0, holder("loading", "a", Samples.FAST, new LayerRange(0, 33)));
		assertThat(LayerPlanner.plan(this.engine, hosts)).hasSize(1);
	}

	@Test
	void ofTwoHostsThatMayMoveTheOneWithFewerStreamsMoves() {
		List<LayerPlanner.Holder> hosts = new ArrayList<>();
		hosts.add(new LayerPlanner.Holder("busy", "a", Samples.FAST, Optional.of(new LayerRange(0, 33)), false, 30));
		hosts.add(new LayerPlanner.Holder("calm", "a", Samples.FAST, Optional.of(new LayerRange(0, 33)), false, 2));
		hosts.add(holder("rest", "a", Samples.FAST, new LayerRange(33, 66)));
		assertThat(LayerPlanner.plan(this.engine, hosts)).containsOnlyKeys("calm");
	}

	// Replays the retirement of two hosts at peak load, where the fastest hosts moved and
	// all streams lost their first part.
	@Test
	void theFastestHolderOfARangeStaysAndSlowerCopiesMove() {
		List<LayerPlanner.Holder> placed = placed(fleet(), LayerPlanner.plan(this.engine, fleet()));
		LayerRange lost = new LayerRange(59, 68);
		List<LayerPlanner.Holder> rest = placed.stream()
			.filter((one) -> !(one.dataCentre().equals("a") && one.layers().equals(Optional.of(lost))))
			.toList();
		assertThat(rest).hasSize(placed.size() - 1);
		Map<String, LayerRange> orders = LayerPlanner.plan(this.engine, rest);
		assertThat(orders.keySet()).isNotEmpty().allMatch((id) -> id.startsWith("a-" + Samples.SMALL.name()));
		assertThat(copies(placed(rest, orders), "a")).doesNotContain(0);
	}

	@Test
	void aHostThatComesBackEmptyTakesWhatIsHeldLeast() {
		List<LayerPlanner.Holder> placed = new ArrayList<>(placed(fleet(), LayerPlanner.plan(this.engine, fleet())));
		LayerPlanner.Holder lost = placed.remove(0);
		placed.add(holder(lost.id(), lost.dataCentre(), lost.kind(), null));
		Map<String, LayerRange> orders = LayerPlanner.plan(this.engine, placed);
		assertThat(orders).containsOnlyKeys(lost.id());
		assertThat(copies(placed(placed, orders), lost.dataCentre())).doesNotContain(0);
	}

	@Test
	void dataCentresThatCannotHoldTheModelAloneHoldItTogether() {
		List<LayerPlanner.Holder> fleet = new ArrayList<>();
		add(fleet, "a", Samples.SLOW, 5);
		add(fleet, "b", Samples.SLOW, 5);
		List<LayerPlanner.Holder> placed = placed(fleet, LayerPlanner.plan(this.engine, fleet));
		int[] a = copies(placed, "a");
		int[] b = copies(placed, "b");
		for (int layer = 0; layer < 80; layer++) {
			assertThat(a[layer] + b[layer]).isPositive();
		}
	}

	@Test
	void aFleetWithoutHostsNeedsNoOrders() {
		assertThat(LayerPlanner.plan(this.engine, List.of())).isEmpty();
	}

}
