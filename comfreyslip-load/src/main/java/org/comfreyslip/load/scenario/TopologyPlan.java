package org.comfreyslip.load.scenario;

import java.util.ArrayList;
import java.util.List;

import org.comfreyslip.routing.bound.EngineRate;
import org.comfreyslip.routing.bound.ModelBound;
import org.comfreyslip.routing.bound.ThroughputBound;
import org.comfreyslip.routing.topology.LayerRange;

/**
 * What an embedded run starts.
 *
 * @param stages the number of layer ranges
 * @param layersPerStage the layers of each range
 * @param kinds the engines of each range
 * @param maxBatch the steps in a batch of an engine
 * @param itemMicros the time of a batch per decode step in microseconds
 * @param daemons the number of daemons
 * @param endpoints the number of endpoints of the plain service
 * @param serviceMillis the time of a call to the plain service
 * @param daemonHeapMegabytes the heap limit of a daemon
 * @param standinHeapMegabytes the heap limit of a stand-in process
 */
public record TopologyPlan(int stages, int layersPerStage, List<KindPlan> kinds, int maxBatch, int itemMicros,
		int daemons, int endpoints, int serviceMillis, int daemonHeapMegabytes, int standinHeapMegabytes) {

	/** Most child processes of a run. */
	public static final int MAX_PROCESSES = 40;

	private static final double MICROS_PER_SECOND = 1e6;

	/**
	 * Returns the number of layers of the model.
	 * @return the layers of all stages
	 */
	public int layers() {
		return this.stages * this.layersPerStage;
	}

	/**
	 * Lists the engines, stage by stage.
	 * @return the engines
	 */
	public List<PlannedEngine> engines() {
		List<PlannedEngine> engines = new ArrayList<>();
		for (int stage = 0; stage < this.stages; stage++) {
			LayerRange range = new LayerRange(stage * this.layersPerStage, (stage + 1) * this.layersPerStage);
			for (KindPlan kind : this.kinds) {
				for (int i = 1; i <= kind.perStage(); i++) {
					engines.add(new PlannedEngine("s" + stage + "-" + kind.name() + "-" + i, range, kind));
				}
			}
		}
		return engines;
	}

	/**
	 * Returns the number of child processes: the engines, the daemons and one process
	 * with all other stand-ins.
	 * @return the count
	 */
	public int processes() {
		return engines().size() + this.daemons + 1;
	}

	/**
	 * Returns the bound of the model's throughput if every batch is full of decode steps.
	 * Prompts take part of the engines' time, so that the bound cannot be reached.
	 * @return the bound
	 */
	public ModelBound bound() {
		return ThroughputBound.ofModel(layers(),
				engines().stream()
					.map((engine) -> new EngineRate(engine.name(), engine.layers(), rate(engine.kind())))
					.toList());
	}

	private double rate(KindPlan kind) {
		double batchMicros = (double) this.layersPerStage * kind.layerMicros() + this.maxBatch * this.itemMicros;
		return this.maxBatch * MICROS_PER_SECOND / batchMicros;
	}

	/**
	 * One engine of the plan.
	 *
	 * @param name the engine's name
	 * @param layers its layer range
	 * @param kind its kind
	 */
	public record PlannedEngine(String name, LayerRange layers, KindPlan kind) {
	}

}
