package org.comfreyslip.daemon.answer;

import java.util.List;
import java.util.concurrent.ScheduledExecutorService;
import java.util.function.LongSupplier;

import org.comfreyslip.daemon.route.RoutingTables;
import org.comfreyslip.routing.pipeline.PipelineStage;
import org.comfreyslip.routing.plan.StageCandidate;

/**
 * What all answers of a daemon share.
 *
 * @param tables endpoint table and planner
 * @param calls the engine calls
 * @param timer runs the time limits
 * @param metrics the counters
 * @param clock the monotonic clock, in ns
 */
record AnswerContext(RoutingTables tables, EngineCalls calls, ScheduledExecutorService timer, AnswerMetrics metrics,
		LongSupplier clock) {

	static List<PipelineStage> stages(List<StageCandidate> candidates) {
		return candidates.stream()
			.map((candidate) -> new PipelineStage(candidate.engine(), candidate.layers()))
			.toList();
	}

}
