package org.comfreyslip.entry.prompt;

import java.util.HashMap;
import java.util.Map;

import org.comfreyslip.entry.layers.LayerPath;
import org.comfreyslip.entry.layers.StageCosts;
import org.comfreyslip.entry.model.AcceleratorKind;
import org.comfreyslip.entry.model.Endpoint;

/**
 * What long prompts cost the others at an engine. The cost of a path is its time per
 * token, which callers measure by their objective for the time between two events. A
 * first event of one caller that takes twice as long as usual therefore counts as much as
 * this whole objective. A long prompt's own first event counts by the objective for it,
 * and only if it may be late.
 */
final class PromptCosts implements StageCosts {

	private static final double MS_PER_SECOND = 1_000;

	private final Prompt prompt;

	private final WaitingPrompts waiting;

	/** Whether the time to the prompt's own first event counts. */
	private final boolean mayBeLate;

	private final long nowNanos;

	private final Map<String, Coefficients> known = new HashMap<>();

	/**
	 * Creates the costs for one search.
	 * @param prompt the prompt
	 * @param waiting the prompts of all daemons
	 * @param mayBeLate whether the time to the prompt's own first event counts
	 * @param nowNanos the current steady time in ns
	 */
	PromptCosts(Prompt prompt, WaitingPrompts waiting, boolean mayBeLate, long nowNanos) {
		this.prompt = prompt;
		this.waiting = waiting;
		this.mayBeLate = mayBeLate;
		this.nowNanos = nowNanos;
	}

	@Override
	public double costMs(Endpoint endpoint, int layers) {
		Coefficients coefficients = this.known.get(endpoint.id());
		if (coefficients == null) {
			coefficients = coefficients(endpoint);
			this.known.put(endpoint.id(), coefficients);
		}
		return coefficients.costMs(layers / (double) this.prompt.engine().layers());
	}

	private Coefficients coefficients(Endpoint endpoint) {
		AcceleratorKind kind = this.prompt.engine().kinds().get(endpoint.accelerator().orElseThrow());
		WaitingPrompts.Figures figures = this.waiting.total(endpoint.id(), this.nowNanos);
		double usualMs = this.prompt.meanAllLayersMs(kind);
		double gapMs = this.prompt.gapTargetMs();
		if (!this.prompt.isLong()) {
			return new Coefficients(gapMs * figures.delayMs() / usualMs, 0, 0);
		}
		double promptsPerMs = figures.promptsPerSecond() / MS_PER_SECOND;
		double causedMs = promptsPerMs * this.prompt.excessDelay(kind);
		double ownMs = (this.mayBeLate) ? this.prompt.allLayersMs(kind) - usualMs : 0;
		double ownWeight = gapMs / this.prompt.firstEventTargetMs();
		return new Coefficients(ownWeight * figures.delayMs(), ownWeight * ownMs, gapMs * causedMs / usualMs);
	}

	/**
	 * Returns the expected time to the first event on a path.
	 * @param path the path
	 * @return the time that its engines need for the prompt and for long ones ahead of
	 * it, in ms
	 */
	double firstEventMs(LayerPath path) {
		double sumMs = 0;
		for (LayerPath.Stage stage : path.stages()) {
			sumMs += this.prompt.layerShare(stage) * this.prompt.allLayersMs(this.prompt.kind(stage))
					+ this.waiting.total(stage.endpoint().id(), this.nowNanos).delayMs();
		}
		return sumMs;
	}

	/**
	 * Cost of a stage by its share of the layers.
	 *
	 * @param stageMs cost of each stage, in ms per token
	 * @param shareMs cost that is proportional to the share, in ms per token
	 * @param squareMs cost that is proportional to its square, in ms per token: a longer
	 * prompt delays more others, and each for longer
	 */
	private record Coefficients(double stageMs, double shareMs, double squareMs) {

		double costMs(double share) {
			return this.stageMs + share * (this.shareMs + share * this.squareMs);
		}

	}

}
