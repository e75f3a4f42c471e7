package org.comfreyslip.routing.admission;

import org.comfreyslip.routing.invariant.Invariants;

/**
 * Limits retries to a tenth of the requests. There is no initial allowance, so that the
 * limit holds from the first request on. A replaced pipeline stage is a part of the same
 * request and takes nothing from the budget.
 */
public final class RetryBudget {

	/** Requests that pay for one retry. */
	public static final int REQUESTS_PER_RETRY = 10;

	/**
	 * Most retries that are saved up. More would allow a burst against endpoints that
	 * have just failed.
	 */
	public static final int MAX_SAVED_RETRIES = 10;

	private int credit;

	private long requestCount;

	private long grantedRetryCount;

	/**
	 * Counts a first attempt.
	 */
	public void recordRequest() {
		this.requestCount++;
		this.credit = Math.min(this.credit + 1, REQUESTS_PER_RETRY * MAX_SAVED_RETRIES);
	}

	/**
	 * Takes one retry from the budget if there is one.
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
	 * Returns the retries granted so far.
	 * @return the count
	 */
	public long grantedRetryCount() {
		return this.grantedRetryCount;
	}

}
