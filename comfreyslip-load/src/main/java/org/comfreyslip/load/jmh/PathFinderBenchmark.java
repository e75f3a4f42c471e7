package org.comfreyslip.load.jmh;

import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.SplittableRandom;
import java.util.concurrent.TimeUnit;

import org.comfreyslip.entry.layers.EngineSlowdowns;
import org.comfreyslip.entry.layers.LayerLoads;
import org.comfreyslip.entry.layers.LayerPath;
import org.comfreyslip.entry.layers.PathFinder;
import org.comfreyslip.entry.model.AcceleratorKind;
import org.comfreyslip.entry.model.Endpoint;
import org.comfreyslip.entry.model.EngineSpec;
import org.comfreyslip.entry.model.LayerRange;
import org.comfreyslip.entry.prompt.Prompt;
import org.comfreyslip.entry.prompt.PromptPaths;
import org.comfreyslip.entry.prompt.WaitingPrompts;
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
 * Cost of the search for a path over the layers of engines, in the entry daemon: a model
 * of 80 layers, of which the engines hold ranges of 7, 10 and 16.
 */
@State(Scope.Thread)
@BenchmarkMode(Mode.AverageTime)
@OutputTimeUnit(TimeUnit.MICROSECONDS)
@Warmup(iterations = 3, time = 1)
@Measurement(iterations = 5, time = 1)
@Fork(value = 1, jvmArgsAppend = { "-Xmx512m", "-XX:TieredStopAtLevel=1" })
public class PathFinderBenchmark {

	private static final int LAYERS = 80;

	private static final int[] RANGE_SIZES = { 7, 10, 16 };

	/** Number of engines, and of the data centres that they are spread over. */
	@Param({ "30/3", "216/5", "910/3" })
	public String deployment;

	/** Whether all layers are held; otherwise the search finds no path. */
	@Param({ "true", "false" })
	public boolean complete;

	private final List<Endpoint> engines = new ArrayList<>();

	private PathFinder finder;

	private PromptPaths promptPaths;

	private Prompt prompt;

	/** Builds the engines and the finder. */
	@Setup
	public void setUp() {
		String[] sizes = this.deployment.split("/");
		SplittableRandom random = new SplittableRandom(1);
		EngineSpec spec = new EngineSpec(134, LAYERS, 1_750, 10_567, 0.85, 0.0055, 7.3e-6, 196, 0.026, 14, 772, 167,
				Map.of("k", new AcceleratorKind("k", 36_000, 3.1, 3.2)));
		for (int index = 0; index < Integer.parseInt(sizes[0]); index++) {
			int size = RANGE_SIZES[random.nextInt(RANGE_SIZES.length)];
			int from = random.nextInt(LAYERS - size + 1);
			LayerRange range = new LayerRange(from, from + size);
			if (this.complete || !range.contains(LAYERS / 2)) {
				this.engines
					.add(new Endpoint("i-" + index, 1, 1, "model", new InetSocketAddress("127.0.0.1", 1_000 + index),
							"dc" + index % Integer.parseInt(sizes[1]), false, Optional.of("k"), Optional.of(range)));
			}
		}
		this.finder = new PathFinder(spec, new LayerLoads(random), new EngineSlowdowns());
		WaitingPrompts waiting = new WaitingPrompts();
		this.promptPaths = new PromptPaths(waiting);
		this.prompt = new Prompt(spec, 700, 500, 250);
		find().ifPresent((path) -> waiting.recordSend("long", new Prompt(spec, 2_000, 500, 250), path, 0));
	}

	/**
	 * Searches a path for a stream of usual length.
	 * @return the path; empty if a layer is not held
	 */
	@Benchmark
	public Optional<LayerPath> find() {
		return this.finder.find(this.engines, "dc0", 939, (first) -> true, 0);
	}

	/**
	 * Searches a path for a short prompt while a long one waits.
	 * @return the path; empty if a layer is not held
	 */
	@Benchmark
	public Optional<LayerPath> findBesideLongPrompt() {
		return this.promptPaths.find(this.prompt,
				(costs) -> this.finder.find(this.engines, "dc0", 939, (first) -> true, costs, 0), 0);
	}

}
