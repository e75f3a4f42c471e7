package org.comfreyslip.load.jmh;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.TimeUnit;

import org.comfreyslip.entry.layers.LayerPlanner;
import org.comfreyslip.entry.layers.LayerPlanner.EnginePlacement;
import org.comfreyslip.entry.model.AcceleratorKind;
import org.comfreyslip.entry.model.EngineSpec;
import org.comfreyslip.entry.model.LayerRange;
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
 * Cost of one planning round of the layer placement in the entry daemon: 910 engines of
 * four kinds in three data centres, a model of 80 layers.
 */
@State(Scope.Thread)
@BenchmarkMode(Mode.AverageTime)
@OutputTimeUnit(TimeUnit.MICROSECONDS)
@Warmup(iterations = 3, time = 1)
@Measurement(iterations = 5, time = 1)
@Fork(value = 1, jvmArgsAppend = { "-Xmx512m", "-XX:TieredStopAtLevel=1" })
public class LayerPlannerBenchmark {

	private static final int ENGINES = 910;

	private static final int LAYERS = 80;

	/** The four middle layers are those that a loss takes from all engines. */
	private static final LayerRange LOST = new LayerRange(38, 42);

	/** What the round finds. */
	@Param
	public Situation situation;

	private EngineSpec spec;

	private List<EnginePlacement> placements = new ArrayList<>();

	/** Builds the engines. */
	@Setup
	public void setUp() {
		List<AcceleratorKind> kinds = List.of(new AcceleratorKind("fast", 72_000, 1.4, 1),
				new AcceleratorKind("middle", 36_000, 3.1, 3.2), new AcceleratorKind("slow", 21_600, 16, 8.2),
				new AcceleratorKind("small", 14_400, 15, 15));
		this.spec = new EngineSpec(134, LAYERS, 1_750, 4_912, 0.85, 0.00255, 3.41e-6, 294, 0.0334, 14, 760, 172,
				Map.of());
		for (int index = 0; index < ENGINES; index++) {
			int kind = (index % 50 == 0) ? 0 : (index % 12 == 0) ? 1 : 2 + index % 2;
			this.placements
				.add(new EnginePlacement("i-" + index, "dc" + index % 3, kinds.get(kind), Optional.empty(), false, 0));
		}
		if (this.situation != Situation.FIRST_PLAN) {
			Map<String, LayerRange> orders = LayerPlanner.plan(this.spec, this.placements);
			this.placements = new ArrayList<>(this.placements.stream()
				.map((one) -> new EnginePlacement(one.id(), one.dataCentre(), one.kind(),
						Optional.ofNullable(orders.get(one.id())), false, 5))
				.filter((one) -> this.situation != Situation.GAP || !overlaps(one.layers().orElseThrow()))
				.toList());
		}
		if (this.situation == Situation.AT_RISK) {
			keepOneHolderOfTheLostLayers();
		}
	}

	private static boolean overlaps(LayerRange range) {
		return range.from() < LOST.to() && range.to() > LOST.from();
	}

	// Leaves one engine in each data centre that holds the layers.
	private void keepOneHolderOfTheLostLayers() {
		Set<String> covered = new HashSet<>();
		this.placements.removeIf((one) -> {
			LayerRange range = one.layers().orElseThrow();
			boolean holdsAll = range.from() <= LOST.from() && range.to() >= LOST.to();
			return overlaps(range) && !(holdsAll && covered.add(one.dataCentre()));
		});
	}

	/**
	 * Plans one round.
	 * @return the orders
	 */
	@Benchmark
	public Map<String, LayerRange> plan() {
		return LayerPlanner.planRound(this.spec, this.placements);
	}

	/** What a planning round finds. */
	public enum Situation {

		/** No engine holds layers. */
		FIRST_PLAN,

		/** All engines hold layers and none are missing. */
		CALM,

		/** All engines that held some layers are lost. */
		GAP,

		/** One engine of each data centre is left of those that held some layers. */
		AT_RISK

	}

}
