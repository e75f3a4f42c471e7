package org.comfreyslip.routing.plan;

import java.util.List;

import org.comfreyslip.routing.invariant.Invariants;
import org.comfreyslip.routing.topology.LayerRange;

/**
 * Engines that together run a layer range, in order.
 *
 * @param range the layers that are covered
 * @param stages the engines, in layer order, without gap or overlap
 * @param scoreNanos the planning score, in ns
 */
public record StageCover(LayerRange range, List<StageCandidate> stages, long scoreNanos) {

	/**
	 * Checks the cover.
	 * @throws org.comfreyslip.coordination.CodedException with code
	 * {@code INVARIANT_VIOLATED} if the stages do not cover the range exactly
	 */
	public StageCover {
		stages = List.copyOf(stages);
		int boundary = range.first();
		for (StageCandidate stage : stages) {
			if (stage.layers().first() != boundary) {
				throw Invariants.violated("stage " + stage.engine() + " starts at layer " + stage.layers().first()
						+ ", expected " + boundary);
			}
			boundary = stage.layers().end();
		}
		if (boundary != range.end()) {
			throw Invariants.violated("stages end at layer " + boundary + ", expected " + range.end());
		}
	}

}
