package org.comfreyslip.daemon.http;

import java.util.HashSet;
import java.util.Set;
import java.util.concurrent.TimeUnit;

import io.micrometer.core.instrument.MeterRegistry;
import io.micrometer.core.instrument.Timer;

/**
 * Metrics of callers' requests: counts by account and outcome, and token times.
 */
public final class RequestMetrics {

	/**
	 * Accounts that get their own series, one per outcome class. The limit bounds the
	 * memory of the registry.
	 */
	static final int MAX_ACCOUNTS = 200;

	/** Account tag beyond the limit. No account name starts with a hyphen. */
	static final String OTHER_ACCOUNTS = "-other";

	/** Account tag of requests that were refused before they were admitted. */
	static final String NO_ACCOUNT = "-none";

	private static final String REQUESTS = "comfreyslip.requests";

	private final Set<String> accountsWithSeries = new HashSet<>();

	private final MeterRegistry registry;

	private final Timer firstToken;

	private final Timer betweenTokens;

	/**
	 * Registers the metrics.
	 * @param registry where the metrics are registered
	 */
	public RequestMetrics(MeterRegistry registry) {
		this.registry = registry;
		this.firstToken = timer("comfreyslip.first.token");
		this.betweenTokens = timer("comfreyslip.between.tokens");
	}

	/**
	 * Counts a request that was refused before it was admitted.
	 */
	void countRefused() {
		count(NO_ACCOUNT, OutcomeClass.NOT_RUN);
	}

	/**
	 * Counts an admitted request that ended.
	 * @param account the account's name
	 * @param outcome how it ended
	 */
	void countEnded(String account, OutcomeClass outcome) {
		count(accountTag(account), outcome);
	}

	void recordFirstToken(long nanos) {
		this.firstToken.record(nanos, TimeUnit.NANOSECONDS);
	}

	void recordTokenInterval(long nanos) {
		this.betweenTokens.record(nanos, TimeUnit.NANOSECONDS);
	}

	private void count(String account, OutcomeClass outcome) {
		this.registry.counter(REQUESTS, "account", account, "outcome", outcome.metricTag()).increment();
	}

	private String accountTag(String account) {
		synchronized (this.accountsWithSeries) {
			if (this.accountsWithSeries.size() < MAX_ACCOUNTS) {
				this.accountsWithSeries.add(account);
			}
			return this.accountsWithSeries.contains(account) ? account : OTHER_ACCOUNTS;
		}
	}

	private Timer timer(String name) {
		return Timer.builder(name).publishPercentiles(0.5, 0.95, 0.99).register(this.registry);
	}

}
