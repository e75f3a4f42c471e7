package org.comfreyslip.standins.engine;

import java.util.concurrent.TimeUnit;
import java.util.function.Supplier;

import org.comfreyslip.clients.engine.EngineLoad;

/**
 * Load that is measured again only after a lag. Not thread-safe.
 */
final class LoadReport {

	private final long lagNanos;

	private final Supplier<EngineLoad> measurement;

	private EngineLoad last;

	private long lastNanos;

	LoadReport(long lagMillis, Supplier<EngineLoad> measurement) {
		this.lagNanos = TimeUnit.MILLISECONDS.toNanos(lagMillis);
		this.measurement = measurement;
	}

	EngineLoad read(long nowNanos) {
		if (this.last == null || nowNanos - this.lastNanos >= this.lagNanos) {
			this.last = this.measurement.get();
			this.lastNanos = nowNanos;
		}
		return this.last;
	}

}
