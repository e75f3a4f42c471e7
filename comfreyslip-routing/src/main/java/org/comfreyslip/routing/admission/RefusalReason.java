package org.comfreyslip.routing.admission;

import org.comfreyslip.coordination.ErrorCode;

/**
 * Why a request is refused.
 */
public enum RefusalReason {

	/** The deadline has passed already. */
	DEADLINE_PASSED(ErrorCode.DEADLINE_EXCEEDED),

	/** The expected wait is longer than the time left. */
	WAIT_EXCEEDS_DEADLINE(ErrorCode.OVERLOADED),

	/** The account is at its share of this daemon. */
	ACCOUNT_SHARE(ErrorCode.ACCOUNT_LIMIT),

	/** The account is at its limit over all daemons, as far as peers have reported. */
	ACCOUNT_TOTAL(ErrorCode.ACCOUNT_LIMIT),

	/** The daemon is busy and the account uses more than its fair part. */
	ABOVE_FAIR_SHARE(ErrorCode.OVERLOADED),

	/** The part of the concurrency limit that the priority may use is full. */
	PRIORITY(ErrorCode.OVERLOADED),

	/** The concurrency limit is reached. */
	CONCURRENCY(ErrorCode.OVERLOADED),

	/** The retry budget is spent. */
	RETRY_BUDGET(ErrorCode.OVERLOADED);

	private final ErrorCode code;

	RefusalReason(ErrorCode code) {
		this.code = code;
	}

	/**
	 * Returns the code for the caller.
	 * @return the code
	 */
	public ErrorCode code() {
		return this.code;
	}

}
