package org.comfreyslip.standins.engine;

import java.util.Comparator;
import java.util.concurrent.CompletableFuture;

import org.comfreyslip.clients.engine.StepReply;
import org.comfreyslip.clients.engine.StepRequest;
import org.comfreyslip.routing.topology.LayerRange;
import org.comfreyslip.routing.topology.Priority;

/**
 * A step in the queue or in a batch.
 *
 * @param request the step
 * @param sequence number in order of arrival
 * @param future completes with the result
 */
record EngineStep(StepRequest request, long sequence, CompletableFuture<StepReply> future) {

	/** Steps of a higher priority come first, others in order of arrival. */
	static final Comparator<EngineStep> ORDER = Comparator.comparing(EngineStep::priority)
		.thenComparingLong(EngineStep::sequence);

	LayerRange range() {
		return new LayerRange(this.request.firstLayer(), this.request.endLayer());
	}

	private Priority priority() {
		return (this.request.priority() != null) ? this.request.priority() : Priority.NORMAL;
	}

}
