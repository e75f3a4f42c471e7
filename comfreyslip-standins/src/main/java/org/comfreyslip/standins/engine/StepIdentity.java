package org.comfreyslip.standins.engine;

import org.comfreyslip.clients.engine.StepRequest;

/**
 * Identity of a step within its stream.
 *
 * @param attempt attempt of the stream
 * @param position the first position
 * @param count number of positions
 * @param firstLayer the first layer
 * @param endLayer the layer after the last one
 */
record StepIdentity(int attempt, int position, int count, int firstLayer, int endLayer) {

	static StepIdentity of(StepRequest step) {
		return new StepIdentity(step.attempt(), step.position(), step.count(), step.firstLayer(), step.endLayer());
	}

}
