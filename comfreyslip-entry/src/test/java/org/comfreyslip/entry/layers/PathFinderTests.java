package org.comfreyslip.entry.layers;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;

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
 * layers, and against engines whose KV cache is overcommitted.
 */
class PathFinderTests {

	private final EngineSpec engine = Samples.engine();

	private final LayerLoads loads = new LayerLoads();

	private final EnginePaces paces = new EnginePaces();

	private final PathFinder finder = new PathFinder(this.engine, this.loads, this.paces);

	private Optional<LayerPath> find(List<Endpoint> endpoints, int tokens) {
		return this.finder.find(endpoints, "a", tokens, (first) -> true, 0);
	}

	private static void assertRunsEachLayerOnceInOrder(LayerPath path) {
		int next = 0;
		Set<String> used = new HashSet<>();
		for (LayerPath.Part part : path.parts()) {
			assertThat(part.layers().from()).isEqualTo(next);
			assertThat(used.add(part.endpoint().id())).isTrue();
			LayerRange held = part.endpoint().layers().orElseThrow();
			assertThat(held.from()).isLessThanOrEqualTo(part.layers().from());
			assertThat(held.to()).isGreaterThanOrEqualTo(part.layers().to());
			next = part.layers().to();
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
		Optional<LayerPath> path = new PathFinder(this.engine, new LayerLoads(), new EnginePaces()).find(endpoints, "a",
				100, (first) -> true, 0);
		assertThat(path.isPresent()).isEqualTo(complete);
		path.ifPresent(PathFinderTests::assertRunsEachLayerOnceInOrder);
	}

	@Test
	void anEndpointRunsAPartOfItsRangeWhereAnotherTakesOver() {
		Endpoint first = Samples.endpoint("first", "a", Samples.FAST, new LayerRange(0, 40));
		Endpoint second = Samples.endpoint("second", "a", Samples.FAST, new LayerRange(35, 70));
		Endpoint third = Samples.endpoint("third", "a", Samples.FAST, new LayerRange(60, 80));
		LayerPath path = find(List.of(first, second, third), 100).orElseThrow();
		assertRunsEachLayerOnceInOrder(path);
		assertThat(path.parts()).hasSize(3);
	}

	@Test
	void aFullEndpointIsLeftOut() {
		Endpoint whole = Samples.endpoint("x", "a", Samples.FAST, new LayerRange(0, 40));
		Endpoint spare = Samples.endpoint("y", "b", Samples.FAST, new LayerRange(0, 40));
		Endpoint rest = Samples.endpoint("z", "a", Samples.FAST, new LayerRange(40, 80));
		assertThat(find(List.of(whole, spare, rest), 100).orElseThrow().first().id()).isEqualTo("x");
		this.loads.reserve(new LayerPath(List.of(new LayerPath.Part(whole, new LayerRange(0, 40)))), 10_000);
		assertThat(find(List.of(whole, spare, rest), 100).orElseThrow().first().id()).isEqualTo("y");
	}

	@Test
	void whatOtherDaemonsReservedCounts() {
		Endpoint whole = Samples.endpoint("x", "a", Samples.FAST, new LayerRange(0, 40));
		Endpoint rest = Samples.endpoint("z", "a", Samples.FAST, new LayerRange(40, 80));
		assertThat(find(List.of(whole, rest), 100)).isPresent();
		this.loads.setPeers(Map.of("z", new LayerLoads.Load(10_000_000, 80, 0)));
		assertThat(find(List.of(whole, rest), 100)).isEmpty();
	}

	@Test
	void aSlowEngineIsAvoidedWhileItsReportIsNew() {
		Endpoint slow = Samples.endpoint("x", "a", Samples.FAST, new LayerRange(0, 40));
		Endpoint spare = Samples.endpoint("y", "a", Samples.FAST, new LayerRange(0, 40));
		Endpoint rest = Samples.endpoint("z", "a", Samples.FAST, new LayerRange(40, 80));
		String usual = find(List.of(slow, spare, rest), 100).orElseThrow().first().id();
		this.paces.onHeard(usual, 5, 0);
		assertThat(find(List.of(slow, spare, rest), 100).orElseThrow().first().id()).isNotEqualTo(usual);
		assertThat(this.finder.find(List.of(slow, spare, rest), "a", 100, (first) -> true, 3_000_000_000L)
			.orElseThrow()
			.first()
			.id()).isEqualTo(usual);
	}

	@Test
	void releasingAPathRestoresItsRoom() {
		Endpoint whole = Samples.endpoint("x", "a", Samples.FAST, new LayerRange(0, 40));
		LayerPath path = new LayerPath(List.of(new LayerPath.Part(whole, new LayerRange(0, 40))));
		this.loads.reserve(path, 900);
		assertThat(this.loads.of("x")).isEqualTo(new LayerLoads.Load(36_000, 1, 1));
		this.loads.release(path, 900);
		assertThat(this.loads.own()).isEmpty();
	}

	@Test
	void aFirstPartThatFailedTheRequestIsNotTakenAgain() {
		Endpoint one = Samples.endpoint("one", "a", Samples.FAST, new LayerRange(0, 40));
		Endpoint rest = Samples.endpoint("rest", "a", Samples.FAST, new LayerRange(40, 80));
		assertThat(this.finder.find(List.of(one, rest), "a", 100, (first) -> !first.id().equals("one"), 0)).isEmpty();
	}

}
