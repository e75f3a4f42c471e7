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
 * The engines that one answer occupies. An engine counts the answer as outstanding work
 * for as long as it is occupied. Not thread-safe; guarded by the lock of the
 * {@link AnswerDriver}.
 */
final class OccupiedEngines {

	private final RoutingTables tables;

	/** Occupancies by the name of the engine. */
	private final Map<String, EndpointCall> occupancies = new HashMap<>();

	OccupiedEngines(RoutingTables tables) {
		this.tables = tables;
	}

	/**
	 * Occupies the engines of the given stages, either all or none. Engines that the
	 * answer already occupies are left as they are.
	 * @param stages the planned stages
	 * @param nowNanos the current monotonic time, in ns
	 * @return {@code false} if one of the engines accepts no further work; no engine is
	 * then occupied in addition
	 */
	boolean tryOccupy(List<PipelineStage> stages, long nowNanos) {
		Map<String, EndpointCall> added = new HashMap<>();
		for (PipelineStage stage : stages) {
			if (this.occupancies.containsKey(stage.engine()) || added.containsKey(stage.engine())) {
				continue;
			}
			Optional<EndpointCall> call = this.tables.startOccupancy(stage.engine(), nowNanos);
			if (call.isEmpty()) {
				added.values().forEach(this.tables::release);
				return false;
			}
			added.put(stage.engine(), call.get());
		}
		this.occupancies.putAll(added);
		return true;
	}

	void recordStepSuccess(String engine, long nowNanos, long nanosPerPosition) {
		EndpointCall call = this.occupancies.get(engine);
		if (call != null) {
			this.tables.recordStepTime(call, nowNanos, nanosPerPosition);
		}
	}

	void recordFailure(String engine, StepFailure failure, long nowNanos) {
		EndpointCall call = this.occupancies.remove(engine);
		if (call == null) {
			return;
		}
		switch (failure) {
			case UNREACHABLE -> this.tables.recordFailure(call, EndpointFailure.REFUSED, nowNanos);
			case TIMED_OUT -> this.tables.recordFailure(call, EndpointFailure.TIMEOUT, nowNanos);
			case REFUSED -> this.tables.recordFailure(call, EndpointFailure.ERROR, nowNanos);
			case KV_LOST -> this.tables.release(call);
		}
	}

	/**
	 * Releases the engines that are no longer stages of the answer.
	 * @param stages the stages that the answer still uses
	 */
	void releaseUnused(List<PipelineStage> stages) {
		Set<String> enginesInUse = new java.util.HashSet<>();
		stages.forEach((stage) -> enginesInUse.add(stage.engine()));
		this.occupancies.entrySet().removeIf((entry) -> {
			boolean unused = !enginesInUse.contains(entry.getKey());
			if (unused) {
				this.tables.release(entry.getValue());
			}
			return unused;
		});
	}

	void releaseAll() {
		releaseUnused(List.of());
	}

}
