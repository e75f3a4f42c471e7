package org.comfreyslip.daemon.answer;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;

import org.comfreyslip.daemon.route.RoutingTables;
import org.comfreyslip.routing.endpoint.EndpointCall;
import org.comfreyslip.routing.endpoint.EndpointFailure;
import org.comfreyslip.routing.pipeline.PipelineStage;
import org.comfreyslip.routing.pipeline.StepFailure;

/**
 * The engines that one answer occupies. Not thread-safe; guarded by the answer's lock.
 */
final class AnswerStages {

	private final RoutingTables tables;

	private final Map<String, EndpointCall> occupied = new HashMap<>();

	AnswerStages(RoutingTables tables) {
		this.tables = tables;
	}

	/**
	 * Occupies the engines of a plan.
	 * @param stages the stages
	 * @param now the present time
	 * @return {@code false} if one of them takes no more work; nothing new is then
	 * occupied
	 */
	boolean tryOccupy(List<PipelineStage> stages, long now) {
		Map<String, EndpointCall> added = new HashMap<>();
		for (PipelineStage stage : stages) {
			if (this.occupied.containsKey(stage.engine()) || added.containsKey(stage.engine())) {
				continue;
			}
			Optional<EndpointCall> call = this.tables.startOccupancy(stage.engine(), now);
			if (call.isEmpty()) {
				added.values().forEach(this.tables::release);
				return false;
			}
			added.put(stage.engine(), call.get());
		}
		this.occupied.putAll(added);
		return true;
	}

	void stepAnswered(String engine, long now, long unitNanos) {
		EndpointCall call = this.occupied.get(engine);
		if (call != null) {
			this.tables.recordStepTime(call, now, unitNanos);
		}
	}

	void lose(String engine, StepFailure failure, long now) {
		EndpointCall call = this.occupied.remove(engine);
		if (call == null) {
			return;
		}
		switch (failure) {
			case UNREACHABLE -> this.tables.recordFailure(call, EndpointFailure.REFUSED, now);
			case TIMED_OUT -> this.tables.recordFailure(call, EndpointFailure.TIMEOUT, now);
			case REFUSED -> this.tables.recordFailure(call, EndpointFailure.ERROR, now);
			case KV_LOST -> this.tables.release(call);
		}
	}

	/**
	 * Releases the engines that are no longer stages of the answer.
	 * @param stages the stages in use
	 */
	void keepOnly(List<PipelineStage> stages) {
		Set<String> kept = new java.util.HashSet<>();
		stages.forEach((stage) -> kept.add(stage.engine()));
		this.occupied.entrySet().removeIf((entry) -> {
			boolean unused = !kept.contains(entry.getKey());
			if (unused) {
				this.tables.release(entry.getValue());
			}
			return unused;
		});
	}

	void releaseAll() {
		keepOnly(List.of());
	}

}
