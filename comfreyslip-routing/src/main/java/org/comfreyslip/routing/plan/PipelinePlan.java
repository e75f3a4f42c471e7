package org.comfreyslip.routing.plan;

import java.util.ArrayList;
import java.util.List;

import org.comfreyslip.routing.invariant.Invariants;
import org.comfreyslip.routing.topology.LayerRange;

/**
 * The engines that are planned to run all layers of a model for one response.
 *
 * @param model the model's name
 * @param layers the number of layers of the model, at least 1
 * @param stages the engines in layer order; they cover the layers from 0 to
 * {@code layers - 1} exactly
 * @param scoreNanos the expected time of the response by which plans are compared, in ns
 */
public record PipelinePlan(String model, int layers, List<StageCandidate> stages, long scoreNanos) {

	/**
	 * Creates a plan after checking that its stages form a complete path.
	 * @throws org.comfreyslip.coordination.CodedException with code
	 * {@code INVARIANT_VIOLATED} if the stages do not cover all layers exactly or hold
	 * another model
	 */
	public PipelinePlan {
		stages = new StageCover(new LayerRange(0, layers), stages, scoreNanos).stages();
		for (StageCandidate stage : stages) {
			if (!stage.model().equals(model)) {
				throw Invariants
					.violated("stage " + stage.engine() + " holds model " + stage.model() + ", expected " + model);
			}
		}
	}

	/**
	 * Returns this plan with the stages of a layer range replaced.
	 * @param cover the replacement; its range must start and end at stage boundaries of
	 * this plan
	 * @return the new plan, with the unchanged score of this one
	 */
	public PipelinePlan withReplacement(StageCover cover) {
		List<StageCandidate> next = new ArrayList<>();
		boolean added = false;
		for (StageCandidate stage : this.stages) {
			boolean before = stage.layers().end() <= cover.range().first();
			boolean after = stage.layers().first() >= cover.range().end();
			if (before || after) {
				next.add(stage);
			}
			else if (!added) {
				next.addAll(cover.stages());
				added = true;
			}
		}
		return new PipelinePlan(this.model, this.layers, next, this.scoreNanos);
	}

}
