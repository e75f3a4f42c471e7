package org.comfreyslip.daemon.http;

import java.util.HashSet;
import java.util.Set;
import java.util.concurrent.TimeUnit;

import io.micrometer.core.instrument.MeterRegistry;
import io.micrometer.core.instrument.Timer;

/**
 * Metrics of the callers' requests.
 */
public final class RequestMetrics {

	/**
	 * Accounts with a series of their own. Each has a series per outcome class, so that
	 * the registry's memory has a bound.
	 */
	static final int MAX_ACCOUNTS = 200;

	/** Tag of the accounts beyond the bound. No account's name begins so. */
	static final String OTHER = "-other";

	/** Tag of requests that were refused before they were admitted. */
	static final String NONE = "-none";

	private static final String REQUESTS = "comfreyslip.requests";

	private final Set<String> accounts = new HashSet<>();

	private final MeterRegistry registry;

	private final Timer firstToken;

	private final Timer betweenTokens;

	/**
	 * Registers the metrics.
	 * @param registry the registry
	 */
	public RequestMetrics(MeterRegistry registry) {
		this.registry = registry;
		this.firstToken = timer("comfreyslip.first.token");
		this.betweenTokens = timer("comfreyslip.between.tokens");
	}

	/**
	 * Counts a request that was refused before it was admitted.
	 */
	void refused() {
		count(NONE, OutcomeClass.NOT_RUN);
	}

	/**
	 * Counts an admitted request that ended.
	 * @param account the account's name
	 * @param outcome how it ended
	 */
	void ended(String account, OutcomeClass outcome) {
		count(tag(account), outcome);
	}

	void firstToken(long nanos) {
		this.firstToken.record(nanos, TimeUnit.NANOSECONDS);
	}

	void nextToken(long nanos) {
		this.betweenTokens.record(nanos, TimeUnit.NANOSECONDS);
	}

	private void count(String account, OutcomeClass outcome) {
		this.registry.counter(REQUESTS, "account", account, "outcome", outcome.tag()).increment();
	}

	private String tag(String account) {
		synchronized (this.accounts) {
			if (this.accounts.size() < MAX_ACCOUNTS) {
				this.accounts.add(account);
			}
			return this.accounts.contains(account) ? account : OTHER;
		}
	}

	private Timer timer(String name) {
		return Timer.builder(name).publishPercentiles(0.5, 0.95, 0.99).register(this.registry);
	}

}
