package org.comfreyslip.daemon.claim;

import io.micrometer.core.instrument.Counter;
import io.micrometer.core.instrument.MeterRegistry;

/**
 * Metrics of the protected calls.
 */
public final class ClaimMetrics {

	private final Counter unknown;

	private final Counter violations;

	/**
	 * Registers the metrics.
	 * @param registry the registry
	 */
	public ClaimMetrics(MeterRegistry registry) {
		this.unknown = registry.counter("comfreyslip.protected.unknown");
		this.violations = registry.counter("comfreyslip.violations", "promise", "protected");
	}

	void unknown() {
		this.unknown.increment();
	}

	void invariantViolated() {
		this.violations.increment();
	}

}
