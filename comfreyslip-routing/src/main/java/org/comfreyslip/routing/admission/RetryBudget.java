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

	private long requests;

	private long retries;

	/**
	 * Counts a first attempt.
	 */
	public void onRequest() {
		this.requests++;
		this.credit = Math.min(this.credit + 1, REQUESTS_PER_RETRY * MAX_SAVED_RETRIES);
	}

	/**
	 * Takes one retry from the budget if there is one.
	 * @return {@code true} if the retry may be sent
	 */
	public boolean tryRetry() {
		if (this.credit < REQUESTS_PER_RETRY) {
			return false;
		}
		this.credit -= REQUESTS_PER_RETRY;
		this.retries++;
		if (this.retries * REQUESTS_PER_RETRY > this.requests) {
			throw Invariants.violated(this.retries + " retries exceed a tenth of " + this.requests + " requests");
		}
		return true;
	}

	/**
	 * Returns the retries granted so far.
	 * @return the count
	 */
	public long retries() {
		return this.retries;
	}

}
