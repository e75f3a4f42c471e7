package org.comfreyslip.coordination.claim;

import org.comfreyslip.coordination.CodedException;

/**
 * What the client that requested a protected call is told.
 */
public sealed interface ClaimResult {

	/**
	 * The call was executed.
	 *
	 * @param response the result
	 * @param replayed whether the result comes from the log or from a look-up, and so
	 * possibly from another attempt, instead of being the response to this attempt's call
	 */
	record Done(RecordedResponse response, boolean replayed) implements ClaimResult {
	}

	/**
	 * The service was reached and refused the call without executing it. The key is free
	 * again.
	 *
	 * @param error the reason; {@link CodedException#isNotRun()} is {@code false},
	 * because bytes of the call were sent and only the service states that it was not
	 * executed
	 */
	record Refused(CodedException error) implements ClaimResult {
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
	 * @param lookupPath the path at which the client can look the outcome up
	 */
	record Unknown(CodedException error, String lookupPath) implements ClaimResult {
	}

}
