package org.comfreyslip.routing.plan;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.Set;

import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import org.comfreyslip.coordination.CodedException;
import org.comfreyslip.routing.bound.EngineRate;
import org.comfreyslip.routing.bound.ThroughputBound;
import org.comfreyslip.routing.endpoint.EndpointFailure;
import org.comfreyslip.routing.endpoint.EndpointTable;
import org.comfreyslip.routing.topology.EngineSpec;
import org.comfreyslip.routing.topology.FencingMode;
import org.comfreyslip.routing.topology.KindSpec;
import org.comfreyslip.routing.topology.LayerRange;
import org.comfreyslip.routing.topology.LinkSpec;
import org.comfreyslip.routing.topology.ModelSpec;
import org.comfreyslip.routing.topology.Topology;
import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatExceptionOfType;

/**
 * Guards against plans that skip or repeat layers, use engines that must not be used,
 * ignore links, load or caches, or are the same at all daemons.
 */
class PipelinePlannerTests {

	private static final long SECOND = 1_000_000_000;

	private static final long NOW = 100 * SECOND;

	private final EndpointTable endpoints = new EndpointTable();

	private final Random random = new Random(1);

	private PlanningTable table;

	@Test
	void aDegradedLinkIsAvoidedAndTriedAgainLater() {
		PipelinePlanner planner = planner(12, engine("near", "b", 0, 12), engine("other", "c", 0, 12));
		for (int i = 0; i < 20; i++) {
			this.table.recordTransfer("b", 16_384, SECOND, NOW);
		}
		assertThat(engines(planner, 50)).containsExactly("other");
		assertThat(this.table.linkSlowdownFactor("b", NOW + 600 * SECOND)).isLessThan(1.01);
	}

	@Test
	void daemonsWithTheSameReportDoNotAllChooseTheSameEngine() {
		PipelinePlanner planner = planner(12, engine("x", "a", 0, 12), engine("y", "a", 0, 12),
				engine("z", "a", 0, 12));
		assertThat(engines(planner, 100)).containsExactlyInAnyOrder("x", "y", "z");
	}

	@Test
	void aSlightlyWorseEngineTakesAPartOfTheResponsesAndAMuchWorseOneNone() {
		PipelinePlanner planner = planner(12, engine("best", "a", 0, 12), engine("near", "b", 0, 12),
				engine("far", "z", 0, 12));
		assertThat(engines(planner, 100)).containsExactlyInAnyOrder("best", "near");
	}

	@Test
	void aLongQueueIsAvoided() {
		PipelinePlanner planner = planner(12, engine("x", "a", 0, 12), engine("y", "a", 0, 12));
		this.endpoints.find("x").orElseThrow().load().onLoadReport(5, NOW);
		assertThat(engines(planner, 50)).containsExactly("y");
	}

	@Test
	void aCachedPromptOutweighsAShortQueueButNotALongOne() {
		PipelinePlanner planner = planner(12, engine("x", "a", 0, 12), engine("y", "a", 0, 12));
		Map<String, Integer> cached = Map.of("x", 64_000);
		PlanRequest request = new PlanRequest("m", 64_000, 100, Set.of(), (name) -> cached.getOrDefault(name, 0));
		this.endpoints.find("x").orElseThrow().load().onLoadReport(2, NOW);
		assertThat(planned(planner, request).stages().get(0).engine()).isEqualTo("x");
		this.endpoints.find("x").orElseThrow().load().onLoadReport(200, NOW);
		assertThat(planned(planner, request).stages().get(0).engine()).isEqualTo("y");
	}

	@Test
	void aLostRangeIsReplacedBySeveralEnginesWithoutTheFailedOne() {
		PipelinePlanner planner = planner(12, engine("lost", "a", 0, 8), engine("p", "a", 0, 3), engine("q", "a", 3, 8),
				engine("tail", "a", 8, 12));
		PlanRequest request = PlanRequest.of("m", 10, 10).withExcludedEngines(Set.of("lost"));
		PlanDecision decision = planner.planReplacement(new LayerRange(0, 8), request, NOW, this.random);
		StageCover cover = ((PlanDecision.Replaced) decision).cover();
		assertThat(cover.stages()).extracting(StageCandidate::engine).containsExactly("p", "q");
		PipelinePlan plan = planned(planner, PlanRequest.of("m", 10, 10).withExcludedEngines(Set.of("p")));
		assertThat(plan.withReplacement(cover).stages()).extracting(StageCandidate::engine)
			.containsExactly("p", "q", "tail");
	}

	@Test
	void anUncoveredLayerIsNamed() {
		PipelinePlanner planner = planner(12, engine("p", "a", 0, 8), engine("q", "a", 9, 12));
		assertThat(planner.plan(PlanRequest.of("m", 1, 1), NOW, this.random))
			.isEqualTo(new PlanDecision.Uncovered("m", 8));
		assertThat(planner.plan(PlanRequest.of("n", 1, 1), NOW, this.random))
			.isEqualTo(new PlanDecision.UnknownModel("n"));
	}

	@Test
	void anEjectedEngineIsNotPlanned() {
		PipelinePlanner planner = planner(12, engine("x", "a", 0, 12), engine("y", "a", 0, 12));
		this.endpoints.recordFailure(this.endpoints.startCallTo("x", NOW).orElseThrow(), EndpointFailure.REFUSED, NOW,
				this.random);
		assertThat(engines(planner, 50)).containsExactly("y");
	}

	@Test
	void aPlanWithAGapOrAnOverlapIsRejected() {
		StageCandidate head = StageCandidate.of(engine("p", "a", 0, 5));
		StageCandidate tail = StageCandidate.of(engine("q", "a", 4, 12));
		assertThatExceptionOfType(CodedException.class)
			.isThrownBy(() -> new PipelinePlan("m", 12, List.of(head, tail), 0));
		assertThatExceptionOfType(CodedException.class).isThrownBy(() -> new PipelinePlan("m", 12, List.of(head), 0));
	}

	@Property(tries = 300, seed = "21")
	void plansCoverExactlyAndTheBoundIsNotBelowTheRateOfAnyPlan(@ForAll long seed) {
		Random chance = new Random(seed);
		int layers = 1 + chance.nextInt(30);
		EngineSpec[] specs = new EngineSpec[1 + chance.nextInt(60)];
		List<EngineRate> rates = new ArrayList<>();
		for (int i = 0; i < specs.length; i++) {
			int first = chance.nextInt(layers);
			int end = first + 1 + chance.nextInt(layers - first);
			specs[i] = engine("e" + i, "abc".substring(i % 3, i % 3 + 1), first, end);
			rates.add(new EngineRate("e" + i, specs[i].layers(), 1 + chance.nextInt(100)));
		}
		PipelinePlanner planner = planner(layers, specs);
		double bound = ThroughputBound.ofModel(layers, rates).tokensPerSecond();
		PlanDecision decision = planner.plan(PlanRequest.of("m", 10, 10), NOW, chance);
		if (decision instanceof PlanDecision.Planned planned) {
			List<StageCandidate> stages = planned.plan().stages();
			boolean[] covered = new boolean[layers];
			stages.forEach((stage) -> {
				for (int i = stage.layers().first(); i < stage.layers().end(); i++) {
					assertThat(covered[i]).isFalse();
					covered[i] = true;
				}
			});
			assertThat(covered).doesNotContain(false);
			double rate = stages.stream()
				.mapToDouble((stage) -> rates.get(Integer.parseInt(stage.engine().substring(1))).tokensPerSecond())
				.min()
				.orElseThrow();
			assertThat(bound).isGreaterThanOrEqualTo(rate);
		}
		else {
			assertThat(bound).isZero();
		}
	}

	private PipelinePlanner planner(int layers, EngineSpec... specs) {
		this.endpoints.setEndpoints("m", List.of(specs).stream().map(EngineSpec::name).toList(), 0);
		List<LinkSpec> links = List.of(new LinkSpec("a", "b", 10_000, 100), new LinkSpec("c", "a", 10_000, 500));
		Topology topology = new Topology(List.of(new ModelSpec("m", layers, "1", List.of(), List.of())),
				List.of(new KindSpec("k", 100)), List.of(specs), List.of(), List.of(), List.of(), List.of(), links);
		this.table = new PlanningTable(topology, "a", this.endpoints);
		return new PipelinePlanner(this.table);
	}

	private static EngineSpec engine(String name, String dataCentre, int first, int end) {
		return new EngineSpec(name, "127.0.0.1:1", dataCentre, "k", "m", new LayerRange(first, end),
				FencingMode.CHECKED);
	}

	private PipelinePlan planned(PipelinePlanner planner, PlanRequest request) {
		return ((PlanDecision.Planned) planner.plan(request, NOW, this.random)).plan();
	}

	private Set<String> engines(PipelinePlanner planner, int runs) {
		Set<String> names = new HashSet<>();
		for (int i = 0; i < runs; i++) {
			names.add(planned(planner, PlanRequest.of("m", 100, 100)).stages().get(0).engine());
		}
		return names;
	}

}
