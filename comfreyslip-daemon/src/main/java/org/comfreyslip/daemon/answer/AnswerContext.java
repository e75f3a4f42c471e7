package org.comfreyslip.daemon.answer;

import java.util.List;
import java.util.concurrent.ScheduledExecutorService;
import java.util.function.LongSupplier;

import org.comfreyslip.daemon.route.RoutingTables;
import org.comfreyslip.routing.pipeline.PipelineStage;
import org.comfreyslip.routing.plan.StageCandidate;

/**
 * Collaborators that all answers of a daemon share.
 *
 * @param tables selects endpoints, plans paths and records the outcomes of steps
 * @param engineCalls sends calls to engines
 * @param timer schedules timeouts
 * @param metrics counts steps, lost stages and forward passes, and times recoveries
 * @param clock the monotonic clock, in ns
 */
record AnswerContext(RoutingTables tables, EngineCalls engineCalls, ScheduledExecutorService timer,
		AnswerMetrics metrics, LongSupplier clock) {

	static List<PipelineStage> toPipelineStages(List<StageCandidate> candidates) {
		return candidates.stream()
			.map((candidate) -> new PipelineStage(candidate.engine(), candidate.layers()))
			.toList();
	}

}
