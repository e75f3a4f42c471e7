package org.comfreyslip.entry.retry;

import java.util.HashMap;
import java.util.Map;
import java.util.concurrent.TimeUnit;

import org.comfreyslip.entry.EntryEvent;
import org.comfreyslip.entry.EntryLog;
import org.comfreyslip.entry.EntryMetrics;

/**
 * Counts the decisions of the retry budget and logs refusals, at most one line for each
 * service in {@link #LOG_INTERVAL_NANOS}.
 */
public final class RetryReport {

	private static final long LOG_INTERVAL_NANOS = TimeUnit.SECONDS.toNanos(10);

	private final RetryBudget budget;

	private final EntryMetrics metrics;

	private final Map<String, Refusals> refusals = new HashMap<>();

	/**
	 * Creates a report.
	 * @param budget the budget that decides
	 * @param metrics the counters to update
	 */
	public RetryReport(RetryBudget budget, EntryMetrics metrics) {
		this.budget = budget;
		this.metrics = metrics;
	}

	/**
	 * Records a decision of the budget.
	 * @param service name of the service
	 * @param taken whether the retry was taken; else it was refused
	 * @param nowNanos the current time in ns
	 * @return whether a line was logged
	 */
	public boolean onDecision(String service, boolean taken, long nowNanos) {
		this.metrics.increment((taken) ? EntryMetrics.Count.RETRIES_TAKEN : EntryMetrics.Count.RETRIES_REFUSED);
		return !taken && onRefusal(service, nowNanos);
	}

	private boolean onRefusal(String service, long nowNanos) {
		Refusals ofService = this.refusals.computeIfAbsent(service,
				(name) -> new Refusals(nowNanos - LOG_INTERVAL_NANOS));
		ofService.count++;
		if (nowNanos - ofService.loggedAtNanos < LOG_INTERVAL_NANOS) {
			return false;
		}
		RetryBudget.Usage usage = this.budget.usage(service, nowNanos);
		EntryLog.write(EntryEvent.RETRIES_REFUSED, service, "refused", ofService.count, "requests", usage.requests(),
				"retries", usage.retries(), "allowed", usage.allowed(), "daemons", this.budget.daemonCount());
		ofService.count = 0;
		ofService.loggedAtNanos = nowNanos;
		return true;
	}

	/**
	 * Returns the number of daemons that share the budget as a metric.
	 * @return a line in the Prometheus text format
	 */
	public String metricsText() {
		return "comfreyslip_retry_budget_daemons " + this.budget.daemonCount() + '\n';
	}

	/** Refusals of a service since its last line in the log. */
	private static final class Refusals {

		private long loggedAtNanos;

		private int count;

		Refusals(long loggedAtNanos) {
			this.loggedAtNanos = loggedAtNanos;
		}

	}

}
