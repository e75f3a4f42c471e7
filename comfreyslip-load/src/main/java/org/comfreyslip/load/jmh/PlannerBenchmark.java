package org.comfreyslip.load.jmh;

import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.concurrent.TimeUnit;

import org.comfreyslip.routing.endpoint.EndpointTable;
import org.comfreyslip.routing.plan.PipelinePlanner;
import org.comfreyslip.routing.plan.PlanDecision;
import org.comfreyslip.routing.plan.PlanRequest;
import org.comfreyslip.routing.plan.PlanningTable;
import org.comfreyslip.routing.topology.EngineSpec;
import org.comfreyslip.routing.topology.FencingMode;
import org.comfreyslip.routing.topology.KindSpec;
import org.comfreyslip.routing.topology.LayerRange;
import org.comfreyslip.routing.topology.LinkSpec;
import org.comfreyslip.routing.topology.ModelSpec;
import org.comfreyslip.routing.topology.Topology;
import org.openjdk.jmh.annotations.Benchmark;
import org.openjdk.jmh.annotations.BenchmarkMode;
import org.openjdk.jmh.annotations.Fork;
import org.openjdk.jmh.annotations.Measurement;
import org.openjdk.jmh.annotations.Mode;
import org.openjdk.jmh.annotations.OutputTimeUnit;
import org.openjdk.jmh.annotations.Param;
import org.openjdk.jmh.annotations.Scope;
import org.openjdk.jmh.annotations.Setup;
import org.openjdk.jmh.annotations.State;
import org.openjdk.jmh.annotations.Warmup;

/**
 * Cost of one planning decision: one model at 40 servers, five models above, 60 layers in
 * two, three or four stages, seven kinds, seven data centres.
 */
@State(Scope.Thread)
@BenchmarkMode(Mode.AverageTime)
@OutputTimeUnit(TimeUnit.MICROSECONDS)
@Warmup(iterations = 3, time = 1)
@Measurement(iterations = 5, time = 1)
@Fork(value = 1, jvmArgsAppend = "-Xmx512m")
public class PlannerBenchmark {

	private static final long NOW = TimeUnit.SECONDS.toNanos(100);

	private static final int LAYERS = 60;

	private static final int KINDS = 7;

	/** The number of servers. */
	@Param({ "40", "200", "910" })
	public int servers;

	private final SplittableRandom random = new SplittableRandom(1);

	private PipelinePlanner planner;

	/**
	 * Builds the planner's table.
	 */
	@Setup
	public void setUp() {
		int models = (this.servers > 40) ? 5 : 1;
		EndpointTable endpoints = new EndpointTable();
		endpoints.setLiveDaemons(8);
		List<ModelSpec> modelSpecs = new ArrayList<>();
		List<EngineSpec> engines = new ArrayList<>();
		for (int model = 0; model < models; model++) {
			modelSpecs.add(new ModelSpec("m" + model, LAYERS, "1", List.of(), List.of()));
			List<EngineSpec> own = engines(model, this.servers / models);
			endpoints.setEndpoints("m" + model, own.stream().map(EngineSpec::name).toList(), 0);
			engines.addAll(own);
		}
		for (EngineSpec engine : engines) {
			endpoints.find(engine.name()).orElseThrow().load().onLoadReport(this.random.nextInt(5), NOW);
		}
		List<KindSpec> kinds = new ArrayList<>();
		List<LinkSpec> links = new ArrayList<>();
		for (int i = 0; i < KINDS; i++) {
			kinds.add(new KindSpec("k" + i, 50 + 50 * i));
			links.add(new LinkSpec("d0", "d" + i, 10_000, 100 * i));
		}
		this.planner = new PipelinePlanner(new PlanningTable(
				new Topology(modelSpecs, kinds, engines, List.of(), List.of(), List.of(), List.of(), links), "d0",
				endpoints));
	}

	/**
	 * Plans a response.
	 * @return the decision
	 */
	@Benchmark
	public PlanDecision plan() {
		return this.planner.plan(PlanRequest.of("m0", 500, 305), NOW, this.random);
	}

	/**
	 * Replaces a lost range.
	 * @return the decision
	 */
	@Benchmark
	public PlanDecision replacement() {
		PlanRequest request = PlanRequest.of("m0", 500, 305).withExcludedEngines(Set.of("m0-1"));
		return this.planner.planReplacement(new LayerRange(20, 40), request, NOW, this.random);
	}

	private static List<EngineSpec> engines(int model, int count) {
		List<EngineSpec> engines = new ArrayList<>();
		int stages = 3;
		int stage = 0;
		for (int i = 0; i < count; i++) {
			LayerRange range = new LayerRange(stage * LAYERS / stages, (stage + 1) * LAYERS / stages);
			engines.add(new EngineSpec("m" + model + "-" + i, "127.0.0.1:1", "d" + i % KINDS, "k" + i % KINDS,
					"m" + model, range, FencingMode.CHECKED));
			stage++;
			if (stage == stages) {
				stage = 0;
				stages = (stages == 4) ? 2 : stages + 1;
			}
		}
		return engines;
	}

}
