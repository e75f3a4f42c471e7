package org.comfreyslip.routing.plan;

import java.util.List;

import org.comfreyslip.routing.invariant.Invariants;
import org.comfreyslip.routing.topology.LayerRange;

/**
 * Engines that together cover a layer range.
 *
 * @param range the layer range that is covered
 * @param stages the engines, in layer order, without gap or overlap
 * @param scoreNanos the expected time of these stages for the whole response, in ns
 */
public record StageCover(LayerRange range, List<StageCandidate> stages, long scoreNanos) {

	/**
	 * Creates a cover after checking that it has no gap or overlap.
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
