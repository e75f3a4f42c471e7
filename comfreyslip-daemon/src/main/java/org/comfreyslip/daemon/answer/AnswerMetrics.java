package org.comfreyslip.daemon.answer;

import java.util.concurrent.TimeUnit;

import io.micrometer.core.instrument.Counter;
import io.micrometer.core.instrument.MeterRegistry;
import io.micrometer.core.instrument.Timer;

/**
 * Metrics of answers.
 */
public final class AnswerMetrics {

	private final Counter stepsSent;

	private final Counter stagesLost;

	private final Counter acceptedPasses;

	private final Counter rebuildPasses;

	private final Counter droppedReplies;

	private final Counter violations;

	private final Timer recovery;

	/**
	 * Registers the metrics.
	 * @param registry where the metrics are registered
	 */
	public AnswerMetrics(MeterRegistry registry) {
		this.stepsSent = registry.counter("comfreyslip.steps.sent");
		this.stagesLost = registry.counter("comfreyslip.stages.lost");
		this.acceptedPasses = registry.counter("comfreyslip.passes.accepted");
		this.rebuildPasses = registry.counter("comfreyslip.passes.rebuild");
		this.droppedReplies = registry.counter("comfreyslip.answers.dropped");
		this.violations = registry.counter("comfreyslip.violations", "promise", "layers");
		this.recovery = Timer.builder("comfreyslip.recovery").publishPercentiles(0.5, 0.95, 0.99).register(registry);
	}

	void recordStepSent() {
		this.stepsSent.increment();
	}

	void recordStageLost() {
		this.stagesLost.increment();
	}

	void recordRecovery(long durationNanos) {
		this.recovery.record(durationNanos, TimeUnit.NANOSECONDS);
	}

	void recordPasses(long accepted, long rebuild, long dropped) {
		this.acceptedPasses.increment(accepted);
		this.rebuildPasses.increment(rebuild);
		this.droppedReplies.increment(dropped);
	}

	void recordInvariantViolation() {
		this.violations.increment();
	}

}
