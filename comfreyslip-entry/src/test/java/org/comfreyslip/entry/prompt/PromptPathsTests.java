package org.comfreyslip.entry.prompt;

import java.util.List;
import java.util.Optional;
import java.util.SplittableRandom;
import java.util.concurrent.TimeUnit;
import java.util.function.Function;

import org.comfreyslip.entry.Samples;
import org.comfreyslip.entry.layers.EngineSlowdowns;
import org.comfreyslip.entry.layers.LayerLoads;
import org.comfreyslip.entry.layers.LayerPath;
import org.comfreyslip.entry.layers.PathFinder;
import org.comfreyslip.entry.layers.StageCosts;
import org.comfreyslip.entry.model.Endpoint;
import org.comfreyslip.entry.model.EngineSpec;
import org.comfreyslip.entry.model.LayerRange;
import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Tests for {@link PromptPaths}. They guard against paths that change although no long
 * prompts are there, and against long prompts that are late so as not to delay others.
 */
class PromptPathsTests {

	private static final int LONG = 2_280;

	private static final int SHORT = 600;

	private final EngineSpec engine = Samples.manyEngines();

	private final List<Endpoint> fastAndSlow = List.of(engine("fast", "fast"), engine("slow", "slow"));

	private final WaitingPrompts waiting = new WaitingPrompts();

	private final PromptPaths paths = new PromptPaths(this.waiting);

	private static Endpoint engine(String id, String kind) {
		return Samples.endpoint(id, "a", (kind.equals("fast")) ? Samples.FAST : Samples.SLOW, new LayerRange(0, 80));
	}

	private Prompt prompt(int tokens, double firstEventTargetMs) {
		return new Prompt(this.engine, tokens, firstEventTargetMs, 250);
	}

	// Searches whole engines, without the limits of their memory.
	private Optional<LayerPath> cheapest(StageCosts costs) {
		return this.fastAndSlow.stream()
			.map((one) -> new LayerPath(List.of(new LayerPath.Stage(one, one.layers().orElseThrow())),
					(one.id().equals("fast")) ? 2 : 14, costs.costMs(one, 80)))
			.min((left, right) -> Double.compare(left.expectedTokenMs() + left.addedCostMs(),
					right.expectedTokenMs() + right.addedCostMs()));
	}

	private LayerPath find(Prompt prompt, long nowNanos) {
		return this.paths.find(prompt, this::cheapest, nowNanos).orElseThrow();
	}

	private void sendShortPrompts(int count) {
		for (int index = 0; index < count; index++) {
			this.waiting.recordSend("short", prompt(SHORT, 500), find(prompt(SHORT, 500), 0), 0);
		}
	}

	@Test
	void longPromptTakesTheFastEngineWhileFewOthersUseIt() {
		assertThat(find(prompt(LONG, 500), 0).usesEndpoint("fast")).isTrue();
	}

	@Test
	void longPromptLeavesTheFastEngineToManyOthers() {
		sendShortPrompts(500);
		assertThat(find(prompt(LONG, 500), 0).usesEndpoint("slow")).isTrue();
	}

	@Test
	void longPromptThatWouldBeLateTakesTheFastEngine() {
		sendShortPrompts(500);
		assertThat(find(prompt(LONG, 60), 0).usesEndpoint("fast")).isTrue();
	}

	@Test
	void shortPromptAvoidsTheEngineWhereALongOneWaits() {
		LayerPath fast = find(prompt(SHORT, 500), 0);
		this.waiting.recordSend("long", prompt(LONG, 500), fast, 0);
		assertThat(find(prompt(SHORT, 500), 0).usesEndpoint("slow")).isTrue();
		this.waiting.recordStart("long", 1);
		assertThat(find(prompt(SHORT, 500), 1).usesEndpoint("fast")).isTrue();
	}

	@Test
	void pathThatTheSearchFindsOnlyWithoutAddedCostsIsUsed() {
		Optional<LayerPath> found = this.paths.find(prompt(LONG, 500),
				(costs) -> (costs == StageCosts.NONE) ? cheapest(costs) : Optional.empty(), 0);
		assertThat(found).isPresent();
	}

	// Guards against a search that differs for deployments without long prompts, or
	// after the last of them.
	@Test
	void searchIsTheSameToTheBitWithoutLongPromptsAndSomeTimeAfterThem() {
		List<Endpoint> engines = Samples.place(this.engine, Samples.manyEmptyEngines());
		LayerLoads loads = new LayerLoads(new SplittableRandom(1));
		PathFinder finder = new PathFinder(this.engine, loads, new EngineSlowdowns());
		Function<StageCosts, Optional<LayerPath>> search = (costs) -> finder.find(engines, "a", 900, (first) -> true,
				costs, 0);
		for (int index = 0; index < 300; index++) {
			long now = (index < 150) ? 0 : TimeUnit.MINUTES.toNanos(1);
			LayerPath plain = finder.find(engines, "a", 900, (first) -> true, 0).orElseThrow();
			LayerPath path = this.paths.find(prompt(SHORT, 500), search, now).orElseThrow();
			assertThat(path).isEqualTo(plain);
			assertThat(path.addedCostMs()).isZero();
			loads.reserve(path, 900);
			this.waiting.recordSend(index, prompt((index == 149) ? LONG : SHORT, 500), path, now);
		}
	}

}
