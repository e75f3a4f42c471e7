package org.comfreyslip.routing.plan;

import java.util.ArrayList;
import java.util.List;

import org.comfreyslip.routing.invariant.Invariants;
import org.comfreyslip.routing.topology.LayerRange;

/**
 * The engines that run all layers of a model for one response.
 *
 * @param model the model's name
 * @param layers the number of layers of the model
 * @param stages the engines, in layer order; they cover {@code 0 .. layers} exactly
 * @param scoreNanos the planning score, in ns
 */
public record PipelinePlan(String model, int layers, List<StageCandidate> stages, long scoreNanos) {

	/**
	 * Checks the plan.
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
	 * Returns the plan with the stages of a lost range replaced.
	 * @param cover the replacement; its range consists of whole stages of this plan
	 * @return the new plan, with the score of this one
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
