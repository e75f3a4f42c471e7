package org.comfreyslip.entry.layers;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.SplittableRandom;

import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import net.jqwik.api.constraints.Size;
import org.comfreyslip.entry.Samples;
import org.comfreyslip.entry.model.Endpoint;
import org.comfreyslip.entry.model.EngineSpec;
import org.comfreyslip.entry.model.LayerRange;
import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Tests for {@link PathFinder}. They guard against paths that skip, repeat or reorder
 * layers, and against reservations that exceed the KV cache of an engine.
 */
class PathFinderTests {

	private final EngineSpec engine = Samples.engine();

	private final LayerLoads loads = new LayerLoads(new SplittableRandom(1));

	private final EngineSlowdowns slowdowns = new EngineSlowdowns();

	private final PathFinder finder = new PathFinder(this.engine, this.loads, this.slowdowns);

	private Optional<LayerPath> find(List<Endpoint> endpoints, int tokens) {
		return this.finder.find(endpoints, "a", tokens, (first) -> true, 0);
	}

	private static void assertRunsEachLayerOnceInOrder(LayerPath path) {
		int next = 0;
		Set<String> used = new HashSet<>();
		for (LayerPath.Stage stage : path.stages()) {
			assertThat(stage.layers().from()).isEqualTo(next);
			assertThat(used.add(stage.endpoint().id())).isTrue();
			LayerRange held = stage.endpoint().layers().orElseThrow();
			assertThat(held.from()).isLessThanOrEqualTo(stage.layers().from());
			assertThat(held.to()).isGreaterThanOrEqualTo(stage.layers().to());
			next = stage.layers().to();
		}
		assertThat(next).isEqualTo(80);
	}

	@Property(tries = 300)
	void eachPathRunsEachLayerOnceAndInOrder(
			@ForAll @Size(min = 1, max = 30) List<@IntRange(min = 0, max = 75) Integer> starts,
			@ForAll @IntRange(min = 5, max = 40) int size) {
		List<Endpoint> endpoints = new ArrayList<>();
		for (int index = 0; index < starts.size(); index++) {
			LayerRange range = new LayerRange(starts.get(index), Math.min(80, starts.get(index) + size));
			endpoints.add(Samples.endpoint("e" + index, (index % 2 == 0) ? "a" : "b", Samples.FAST, range));
		}
		boolean[] held = new boolean[80];
		for (Endpoint endpoint : endpoints) {
			for (int layer = endpoint.layers().get().from(); layer < endpoint.layers().get().to(); layer++) {
				held[layer] = true;
			}
		}
		boolean complete = true;
		for (boolean one : held) {
			complete &= one;
		}
		Optional<LayerPath> path = new PathFinder(this.engine, new LayerLoads(new SplittableRandom(1)),
				new EngineSlowdowns())
			.find(endpoints, "a", 100, (first) -> true, 0);
		assertThat(path.isPresent()).isEqualTo(complete);
		path.ifPresent(PathFinderTests::assertRunsEachLayerOnceInOrder);
	}

	@Test
	void endpointRunsOnlySomeOfItsLayersWhereRangesOverlap() {
		Endpoint first = Samples.endpoint("first", "a", Samples.FAST, new LayerRange(0, 40));
		Endpoint second = Samples.endpoint("second", "a", Samples.FAST, new LayerRange(35, 70));
		Endpoint third = Samples.endpoint("third", "a", Samples.FAST, new LayerRange(60, 80));
		LayerPath path = find(List.of(first, second, third), 100).orElseThrow();
		assertRunsEachLayerOnceInOrder(path);
		assertThat(path.stages()).hasSize(3);
	}

	@Test
	void endpointWithoutFreeKvCacheIsNotUsed() {
		Endpoint whole = Samples.endpoint("x", "a", Samples.FAST, new LayerRange(0, 40));
		Endpoint spare = Samples.endpoint("y", "b", Samples.FAST, new LayerRange(0, 40));
		Endpoint rest = Samples.endpoint("z", "a", Samples.FAST, new LayerRange(40, 80));
		assertThat(find(List.of(whole, spare, rest), 100).orElseThrow().firstEndpoint().id()).isEqualTo("x");
		this.loads.reserve(new LayerPath(List.of(new LayerPath.Stage(whole, new LayerRange(0, 40))), 5), 10_000);
		assertThat(find(List.of(whole, spare, rest), 100).orElseThrow().firstEndpoint().id()).isEqualTo("y");
	}

	@Test
	void reservationsOfOtherDaemonsAreCounted() {
		Endpoint whole = Samples.endpoint("x", "a", Samples.FAST, new LayerRange(0, 40));
		Endpoint rest = Samples.endpoint("z", "a", Samples.FAST, new LayerRange(40, 80));
		assertThat(find(List.of(whole, rest), 100)).isPresent();
		this.loads.setPeerLoads(new LayerLoads.PeerLoads(Map.of("z", new LayerLoads.Load(10_000_000, 80, 0)), 1, 0), 0);
		assertThat(find(List.of(whole, rest), 100)).isEmpty();
	}

	@Test
	void linkThatAlreadyCarriesAllItCanIsNotUsed() {
		Endpoint first = Samples.endpoint("first", "a", Samples.FAST, new LayerRange(0, 20));
		Endpoint rest = Samples.endpoint("rest", "b", Samples.FAST, new LayerRange(20, 40));
		Endpoint end = Samples.endpoint("end", "b", Samples.FAST, new LayerRange(40, 80));
		assertThat(find(List.of(first, rest, end), 100)).isPresent();
		int streams = (int) (2_500 / (this.engine.linkMsPerToken() * 900));
		this.loads.setPeerLoads(
				new LayerLoads.PeerLoads(
						Map.of(LayerLoads.linkKey("a", "b"), new LayerLoads.Load(900L * streams, streams, 0)), 10, 0),
				0);
		assertThat(find(List.of(first, rest, end), 100)).isEmpty();
	}

	@Test
	void slowEngineIsAvoidedWhileItsReportIsCurrent() {
		Endpoint slow = Samples.endpoint("x", "a", Samples.FAST, new LayerRange(0, 40));
		Endpoint spare = Samples.endpoint("y", "a", Samples.FAST, new LayerRange(0, 40));
		Endpoint rest = Samples.endpoint("z", "a", Samples.FAST, new LayerRange(40, 80));
		String usual = find(List.of(slow, spare, rest), 100).orElseThrow().firstEndpoint().id();
		this.slowdowns.recordPeerReport(usual, 5, 0);
		assertThat(find(List.of(slow, spare, rest), 100).orElseThrow().firstEndpoint().id()).isNotEqualTo(usual);
		assertThat(this.finder.find(List.of(slow, spare, rest), "a", 100, (first) -> true, 3_000_000_000L)
			.orElseThrow()
			.firstEndpoint()
			.id()).isEqualTo(usual);
	}

	// The cheapest way would leave the slow engine and come back to it.
	@Test
	void aPathIsFoundAlthoughAFasterEngineHoldsLayersInTheMiddleOfASlowOnesRange() {
		Endpoint slow = Samples.endpoint("x", "a", Samples.FAST, new LayerRange(0, 40));
		Endpoint inside = Samples.endpoint("y", "a", Samples.FAST, new LayerRange(10, 20));
		Endpoint rest = Samples.endpoint("z", "a", Samples.FAST, new LayerRange(40, 80));
		this.slowdowns.recordPeerReport("x", 8, 0);
		assertRunsEachLayerOnceInOrder(find(List.of(slow, inside, rest), 100).orElseThrow());
	}

	@Test
	void pathOverTheSameEnginesWithNewerRegistrationsIsTheSame() {
		Endpoint old = Samples.endpoint("x", "a", Samples.FAST, new LayerRange(0, 40));
		Endpoint renewed = new Endpoint(old.id(), old.incarnationStartMs(), old.heartbeat() + 1, old.service(),
				old.address(), old.dataCentre(), old.draining(), old.accelerator(), old.layers());
		Endpoint other = Samples.endpoint("y", "a", Samples.FAST, new LayerRange(0, 40));
		Endpoint rest = Samples.endpoint("z", "a", Samples.FAST, new LayerRange(40, 80));
		LayerPath path = find(List.of(old, rest), 100).orElseThrow();
		assertThat(path.hasSameStages(find(List.of(renewed, rest), 100).orElseThrow())).isTrue();
		assertThat(path.hasSameStages(find(List.of(other, rest), 100).orElseThrow())).isFalse();
	}

	@Test
	void releasingAPathFreesItsReservations() {
		Endpoint whole = Samples.endpoint("x", "a", Samples.FAST, new LayerRange(0, 40));
		LayerPath path = new LayerPath(List.of(new LayerPath.Stage(whole, new LayerRange(0, 40))), 5);
		this.loads.reserve(path, 900);
		assertThat(this.loads.totalLoad("x")).isEqualTo(new LayerLoads.Load(36_000, 1, 1));
		this.loads.release(path, 900);
		assertThat(this.loads.ownLoads()).isEmpty();
	}

	@Test
	void endpointThatIsNotAllowedAsFirstStageIsNotUsedAsSuch() {
		Endpoint one = Samples.endpoint("one", "a", Samples.FAST, new LayerRange(0, 40));
		Endpoint rest = Samples.endpoint("rest", "a", Samples.FAST, new LayerRange(40, 80));
		assertThat(this.finder.find(List.of(one, rest), "a", 100, (first) -> !first.id().equals("one"), 0)).isEmpty();
	}

}
