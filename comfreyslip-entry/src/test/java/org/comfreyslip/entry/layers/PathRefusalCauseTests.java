package org.comfreyslip.entry.layers;

import java.util.List;
import java.util.SplittableRandom;

import org.comfreyslip.entry.Samples;
import org.comfreyslip.entry.model.Endpoint;
import org.comfreyslip.entry.model.EngineSpec;
import org.comfreyslip.entry.model.LayerRange;
import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Tests for {@link PathRefusalCause} and {@link FreeRoom}. They guard against refusals
 * that count as a shortage although holding back other requests does not help.
 */
class PathRefusalCauseTests {

	private static final int MEAN_TOKENS = 772 + 167;

	private static final LayerRange LOWER = new LayerRange(0, 40);

	private static final LayerRange UPPER = new LayerRange(40, 80);

	private final EngineSpec engine = Samples.engine();

	private final LayerLoads loads = new LayerLoads(new SplittableRandom(1));

	private final PathFinder finder = new PathFinder(this.engine, this.loads, new EngineSlowdowns());

	private final Endpoint lower = Samples.endpoint("lower", "a", Samples.FAST, LOWER);

	private final Endpoint upper = Samples.endpoint("upper", "a", Samples.FAST, UPPER);

	private PathRefusalCause cause(List<Endpoint> engines, int tokens) {
		assertThat(this.finder.find(engines, "a", tokens, (first) -> true, 0)).isEmpty();
		return PathRefusalCause.find(this.engine, this.finder, engines, "a", tokens, (first) -> true, 0);
	}

	// Leaves room for a number of tokens in each layer of an engine.
	private void fillUpTo(Endpoint endpoint, int freeTokens) {
		double capacity = PathFinder.MAX_KV_CACHE_SHARE * this.engine.kvCapacityTokenLayers(Samples.FAST, 40) / 40;
		this.loads.reserve(new LayerPath(List.of(new LayerPath.Stage(endpoint, endpoint.layers().orElseThrow())), 5),
				(int) capacity - freeTokens);
	}

	@Test
	void layersWithoutAnEngineAreNoShortage() {
		assertThat(cause(List.of(this.lower), MEAN_TOKENS)).isEqualTo(PathRefusalCause.MISSING_LAYERS);
	}

	@Test
	void aFirstStageThatIsNotAllowedIsNoShortage() {
		List<Endpoint> engines = List.of(this.lower, this.upper);
		assertThat(PathRefusalCause.find(this.engine, this.finder, engines, "a", MEAN_TOKENS,
				(first) -> !first.id().equals("lower"), 0))
			.isEqualTo(PathRefusalCause.NO_FIRST_STAGE);
	}

	@Test
	void noRoomForALargeRequestIsNoShortageWhileOneOfMeanSizeHasAPath() {
		fillUpTo(this.upper, 2 * MEAN_TOKENS);
		assertThat(cause(List.of(this.lower, this.upper), 3 * MEAN_TOKENS)).isEqualTo(PathRefusalCause.LARGE_REQUEST);
	}

	@Test
	void roomInAnotherDataCentreOnlyIsNoShortage() {
		Endpoint remote = Samples.endpoint("remote", "b", Samples.FAST, UPPER);
		Endpoint remoteLower = Samples.endpoint("remote-lower", "b", Samples.FAST, LOWER);
		fillUpTo(this.upper, MEAN_TOKENS / 2);
		fillUpTo(remote, 2 * MEAN_TOKENS);
		assertThat(cause(List.of(this.lower, this.upper, remoteLower, remote), 3 * MEAN_TOKENS))
			.isEqualTo(PathRefusalCause.OTHER_DATA_CENTRE);
	}

	@Test
	void noRoomForARequestOfMeanSizeIsAShortage() {
		fillUpTo(this.upper, MEAN_TOKENS / 2);
		assertThat(cause(List.of(this.lower, this.upper), MEAN_TOKENS)).isEqualTo(PathRefusalCause.CAPACITY);
		assertThat(cause(List.of(this.lower, this.upper), 3 * MEAN_TOKENS)).isEqualTo(PathRefusalCause.CAPACITY);
	}

	@Test
	void freeRoomIsThatOfTheLayerWithTheLeast() {
		fillUpTo(this.upper, 2 * MEAN_TOKENS);
		Endpoint remote = Samples.endpoint("remote", "b", Samples.FAST, UPPER);
		assertThat(FreeRoom.tokenLayers(this.engine, this.loads, List.of(this.lower, this.upper, remote), "a"))
			.isBetween(80.0 * MEAN_TOKENS, 80.0 * (MEAN_TOKENS + 1));
		assertThat(FreeRoom.tokenLayers(this.engine, this.loads, List.of(this.lower), "a")).isZero();
	}

}
