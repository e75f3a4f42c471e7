package org.comfreyslip.routing.admission;

import org.comfreyslip.coordination.ErrorCode;

/**
 * Reason why the admission check refused a request.
 */
public enum RefusalReason {

	/** The deadline has passed already. */
	DEADLINE_PASSED(ErrorCode.DEADLINE_EXCEEDED),

	/** The expected wait is longer than the time until the deadline. */
	WAIT_EXCEEDS_DEADLINE(ErrorCode.OVERLOADED),

	/** The account has reached its share at this daemon. */
	ACCOUNT_SHARE(ErrorCode.ACCOUNT_LIMIT),

	/**
	 * The account has reached its limit over all daemons, as far as peers have reported.
	 */
	ACCOUNT_TOTAL(ErrorCode.ACCOUNT_LIMIT),

	/** The daemon is busy and the account uses more than its fair share. */
	ABOVE_FAIR_SHARE(ErrorCode.OVERLOADED),

	/** The part of the concurrency limit that the priority may use is full. */
	PRIORITY(ErrorCode.OVERLOADED),

	/** The concurrency limit is reached. */
	CONCURRENCY(ErrorCode.OVERLOADED),

	/** The retry budget is used up. */
	RETRY_BUDGET(ErrorCode.OVERLOADED);

	private final ErrorCode code;

	RefusalReason(ErrorCode code) {
		this.code = code;
	}

	/**
	 * Returns the error code that the client receives.
	 * @return the code, never {@code null}
	 */
	public ErrorCode code() {
		return this.code;
	}

}
