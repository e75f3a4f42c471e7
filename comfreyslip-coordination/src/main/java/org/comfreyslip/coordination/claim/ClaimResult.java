package org.comfreyslip.coordination.claim;

import org.comfreyslip.coordination.CodedException;

/**
 * The response to the caller of a protected call.
 */
public sealed interface ClaimResult {

	/**
	 * The call was executed.
	 *
	 * @param response the result
	 * @param earlier whether the result is not from this attempt's own call
	 */
	record Done(RecordedResponse response, boolean earlier) implements ClaimResult {
	}

	/**
	 * The request was not run.
	 *
	 * @param error the reason; {@link CodedException#isNotRun()} is {@code true}
	 */
	record NotRun(CodedException error) implements ClaimResult {
	}

	/**
	 * Whether the request was run is not known.
	 *
	 * @param error the reason
	 * @param lookupPath the path at which the caller can look the outcome up
	 */
	record Unknown(CodedException error, String lookupPath) implements ClaimResult {
	}

}
