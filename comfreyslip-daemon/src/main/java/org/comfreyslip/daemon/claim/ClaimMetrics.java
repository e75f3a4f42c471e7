package org.comfreyslip.daemon.claim;

import io.micrometer.core.instrument.Counter;
import io.micrometer.core.instrument.MeterRegistry;

/**
 * Metrics of protected calls.
 */
public final class ClaimMetrics {

	private final Counter unknownOutcomes;

	private final Counter violations;

	/**
	 * Registers the metrics.
	 * @param registry where the metrics are registered
	 */
	public ClaimMetrics(MeterRegistry registry) {
		this.unknownOutcomes = registry.counter("comfreyslip.protected.unknown");
		this.violations = registry.counter("comfreyslip.violations", "promise", "protected");
	}

	void recordUnknownOutcome() {
		this.unknownOutcomes.increment();
	}

	void recordInvariantViolation() {
		this.violations.increment();
	}

}
