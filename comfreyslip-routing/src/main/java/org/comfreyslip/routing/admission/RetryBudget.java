package org.comfreyslip.routing.admission;

import org.comfreyslip.routing.invariant.Invariants;

/**
 * Limits the retries of this daemon to a tenth of its requests. There is no initial
 * allowance, so the limit holds from the first request on. Replacing a stage of a path is
 * part of the same request and takes nothing from the budget. Unlike the class of the
 * same name in the entry module, this one counts requests and has no time window.
 */
public final class RetryBudget {

	/** Number of requests that allow one retry. */
	public static final int REQUESTS_PER_RETRY = 10;

	/**
	 * The most unused retries that are saved. More would allow a burst of retries against
	 * endpoints that have just failed.
	 */
	public static final int MAX_SAVED_RETRIES = 10;

	private int credit;

	private long requestCount;

	private long grantedRetryCount;

	/**
	 * Counts a request; its retries are not counted here.
	 */
	public void recordRequest() {
		this.requestCount++;
		this.credit = Math.min(this.credit + 1, REQUESTS_PER_RETRY * MAX_SAVED_RETRIES);
	}

	/**
	 * Takes one retry from the budget if one is available.
	 * @return {@code true} if the retry may be sent
	 */
	public boolean tryAcquireRetry() {
		if (this.credit < REQUESTS_PER_RETRY) {
			return false;
		}
		this.credit -= REQUESTS_PER_RETRY;
		this.grantedRetryCount++;
		if (this.grantedRetryCount * REQUESTS_PER_RETRY > this.requestCount) {
			throw Invariants
				.violated(this.grantedRetryCount + " retries exceed a tenth of " + this.requestCount + " requests");
		}
		return true;
	}

	/**
	 * Returns the number of retries granted so far.
	 * @return the count since the budget was created
	 */
	public long grantedRetryCount() {
		return this.grantedRetryCount;
	}

}
