package org.comfreyslip.entry.prompt;

import org.comfreyslip.entry.layers.LayerPath;
import org.comfreyslip.entry.model.AcceleratorKind;
import org.comfreyslip.entry.model.EngineSpec;
import org.comfreyslip.entry.model.Route;

/**
 * A prompt for which a path is searched or which is sent, with the objectives of its
 * caller.
 *
 * @param engine the model engine of the service
 * @param tokens length of the prompt, in tokens
 * @param firstEventTargetMs objective for the time to the first event, in ms; positive
 * @param gapTargetMs objective for the time between two events, in ms; positive
 */
public record Prompt(EngineSpec engine, int tokens, double firstEventTargetMs, double gapTargetMs) {

	/** Largest number of prompt tokens that an engine processes in one step. */
	private static final int CHUNK_TOKENS = 512;

	/** Least objective, in ms, so that costs are finite on routes that state none. */
	private static final double MIN_TARGET_MS = 1;

	/**
	 * Returns the prompt of a request.
	 * @param engine the model engine of the service
	 * @param route the route of the request; without an objective for the time between
	 * two events, that for the first event is used
	 * @param statedTokens length that the caller stated, in tokens; 0 if it stated none,
	 * which counts as the mean of the service
	 * @return the prompt
	 */
	public static Prompt of(EngineSpec engine, Route route, int statedTokens) {
		double firstEventTargetMs = Math.max(MIN_TARGET_MS, route.targetLatencyMs());
		return new Prompt(engine, (statedTokens > 0) ? statedTokens : engine.meanPromptTokens(), firstEventTargetMs,
				(route.targetGapMs() > 0) ? route.targetGapMs() : firstEventTargetMs);
	}

	/**
	 * Returns the size class of the prompt.
	 * @return the class, relative to the mean of the service
	 */
	public PromptSize size() {
		return PromptSize.of(this.tokens, this.engine.meanPromptTokens());
	}

	/**
	 * Tells whether the prompt is longer than the mean of its service.
	 * @return whether others wait for it longer than the search for paths assumes
	 */
	boolean isLong() {
		return this.tokens > this.engine.meanPromptTokens();
	}

	/**
	 * Returns how long an engine would be busy with this prompt if it ran all layers.
	 * @param kind the engine's accelerator kind
	 * @return the time, in ms
	 */
	double allLayersMs(AcceleratorKind kind) {
		return allLayersMs(kind, this.tokens);
	}

	/**
	 * Returns how long an engine would be busy with a prompt of mean length if it ran all
	 * layers.
	 * @param kind the engine's accelerator kind
	 * @return the time, in ms
	 */
	double meanAllLayersMs(AcceleratorKind kind) {
		return allLayersMs(kind, this.engine.meanPromptTokens());
	}

	// Each chunk shares its step with a token of each of the other streams.
	private double allLayersMs(AcceleratorKind kind, int promptTokens) {
		double chunks = Math.ceil(promptTokens / (double) CHUNK_TOKENS);
		return kind.prefillFactor() * promptTokens / this.engine.prefillTokensPerMs()
				+ kind.stepFactor() * chunks * this.engine.stepMs();
	}

	/**
	 * Returns the time for which this prompt occupies an engine with all layers, times
	 * the mean delay of those that arrive there meanwhile, beyond that of a prompt of
	 * mean length. For a part of the layers it is the square of the part of that.
	 * @param kind the engine's accelerator kind
	 * @return the product, in square ms; 0 for a prompt that is not long
	 */
	double excessDelay(AcceleratorKind kind) {
		double own = allLayersMs(kind);
		double mean = meanAllLayersMs(kind);
		return (isLong()) ? (own * own - mean * mean) / 2 : 0;
	}

	/**
	 * Returns the accelerator kind of the engine of a stage.
	 * @param stage a stage of a path of the service
	 * @return the kind; the search uses only engines whose kind is known
	 */
	AcceleratorKind kind(LayerPath.Stage stage) {
		return this.engine.kinds().get(stage.endpoint().accelerator().orElseThrow());
	}

	/**
	 * Returns the part of the model that a stage runs.
	 * @param stage a stage of a path of the service
	 * @return its layers as a share of all
	 */
	double layerShare(LayerPath.Stage stage) {
		return stage.layers().size() / (double) this.engine.layers();
	}

}
