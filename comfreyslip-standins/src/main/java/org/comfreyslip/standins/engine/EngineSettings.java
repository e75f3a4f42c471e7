package org.comfreyslip.standins.engine;

import org.apache.commons.cli.Options;
import org.comfreyslip.routing.topology.FencingMode;
import org.comfreyslip.routing.topology.LayerRange;
import org.comfreyslip.standins.StandinArguments;

/**
 * Settings of the engine stand-in.
 *
 * @param model name of the model loaded at the start
 * @param version its version
 * @param modelLayers number of layers of the model
 * @param range layers held at the start
 * @param layerMicros time of one layer for one batch, in microseconds
 * @param itemMicros time added per decode step of a batch, in microseconds
 * @param prefillMicros time added per computed position of other steps, in microseconds
 * @param maxBatch the most steps in a batch
 * @param kvPositions positions that the KV memory takes
 * @param cacheBlocks blocks that the prefix cache takes
 * @param loadLagMillis age up to which a load report is reused
 * @param cacheEventLagMillis time until a cache event is offered
 * @param cacheEventGap each how-manyth cache event is lost, or 0 for none
 * @param loadModelMillis time of loading a model or adapter
 * @param streamIdleMillis time without a step after which a stream loses its KV cache if
 * the memory is short
 * @param activationBytes size of one position's activations
 * @param fencing how fencing numbers are treated
 * @param recordsPasses whether passes are counted for tests
 */
public record EngineSettings(String model, String version, int modelLayers, LayerRange range, int layerMicros,
		int itemMicros, int prefillMicros, int maxBatch, int kvPositions, int cacheBlocks, int loadLagMillis,
		int cacheEventLagMillis, int cacheEventGap, int loadModelMillis, int streamIdleMillis, int activationBytes,
		FencingMode fencing, boolean recordsPasses) {

	/**
	 * Reads the settings.
	 * @param arguments the options
	 * @return the settings
	 * @throws IllegalArgumentException if a value does not fit
	 */
	public static EngineSettings of(StandinArguments arguments) {
		int modelLayers = arguments.number("model-layers", 8);
		return new EngineSettings(arguments.text("model", "reference"), arguments.text("model-version", "1"),
				modelLayers, range(arguments.text("layers", "0-" + modelLayers), modelLayers),
				arguments.number("layer-micros", 100), arguments.number("item-micros", 20),
				arguments.number("prefill-micros", 5), Math.max(1, arguments.number("max-batch", 64)),
				arguments.number("kv-positions", 200_000), arguments.number("cache-blocks", 1_000),
				arguments.number("load-lag-millis", 0), arguments.number("cache-event-lag-millis", 0),
				arguments.number("cache-event-gap", 0), arguments.number("load-model-millis", 0),
				arguments.number("stream-idle-millis", 60_000),
				Math.max(Long.BYTES, arguments.number("activation-bytes", Long.BYTES)),
				(arguments.has("ignore-fencing")) ? FencingMode.IGNORED : FencingMode.CHECKED,
				!arguments.has("no-passes"));
	}

	/**
	 * Returns the options.
	 * @return the options
	 */
	public static Options options() {
		return new Options().addOption(StandinArguments.option("model", "name", "model, default reference"))
			.addOption(StandinArguments.option("model-version", "version", "its version, default 1"))
			.addOption(StandinArguments.option("model-layers", "count", "layers of the model, default 8"))
			.addOption(StandinArguments.option("layers", "first-end", "layers held, end exclusive, default all"))
			.addOption(StandinArguments.option("layer-micros", "micros", "time per layer and batch, default 100"))
			.addOption(StandinArguments.option("item-micros", "micros", "time per decode step, default 20"))
			.addOption(StandinArguments.option("prefill-micros", "micros", "time per prompt position, default 5"))
			.addOption(StandinArguments.option("max-batch", "steps", "steps in a batch, default 64"))
			.addOption(StandinArguments.option("kv-positions", "count", "size of the KV memory, default 200000"))
			.addOption(StandinArguments.option("cache-blocks", "count", "size of the prefix cache, default 1000"))
			.addOption(StandinArguments.option("load-lag-millis", "millis", "age of load reports, default 0"))
			.addOption(StandinArguments.option("cache-event-lag-millis", "millis", "delay of events, default 0"))
			.addOption(StandinArguments.option("cache-event-gap", "n", "each n-th event is lost, default 0 for none"))
			.addOption(StandinArguments.option("load-model-millis", "millis", "time of a load, default 0"))
			.addOption(StandinArguments.option("stream-idle-millis", "millis",
					"time after which unused KV memory may be reused, default 60000"))
			.addOption(StandinArguments.option("activation-bytes", "bytes", "size per position, default 8"))
			.addOption(StandinArguments.flag("ignore-fencing", "accept orders with any fencing number"))
			.addOption(StandinArguments.flag("no-passes", "do not count passes, for long runs"));
	}

	private static LayerRange range(String text, int modelLayers) {
		String[] parts = text.split("-");
		if (parts.length != 2) {
			throw new IllegalArgumentException("--layers must be first-end, not " + text);
		}
		LayerRange range = new LayerRange(Integer.parseInt(parts[0]), Integer.parseInt(parts[1]));
		if (range.end() > modelLayers) {
			throw new IllegalArgumentException("--layers " + text + " is beyond --model-layers " + modelLayers);
		}
		return range;
	}

}
