package org.comfreyslip.coordination.claim;

import org.comfreyslip.coordination.ErrorCode;

/**
 * An input of {@link ProtectedCall}.
 */
public sealed interface ClaimEvent {

	/**
	 * The request for a protected call was received. This is the first event of a call.
	 *
	 * @param view the state of the key
	 */
	record RequestReceived(ClaimView view) implements ClaimEvent {
	}

	/**
	 * The log confirmed the append of the claim.
	 *
	 * @param offset the offset of the batch
	 */
	record ClaimAppended(long offset) implements ClaimEvent {
	}

	/** The outcome of appending the claim is unknown; the append is repeated. */
	record AppendOutcomeUnknown() implements ClaimEvent {
	}

	/** The claim is known not to be in the log. */
	record AppendRefused() implements ClaimEvent {
	}

	/**
	 * Further records of the stream were read.
	 *
	 * @param view the state of the key after these records
	 */
	record RecordsRead(ClaimView view) implements ClaimEvent {
	}

	/**
	 * The complete response of the service was received.
	 *
	 * @param response the part of the response to record
	 */
	record ResponseReceived(RecordedResponse response) implements ClaimEvent {
	}

	/**
	 * The service responded with a status by which it states that it did not execute the
	 * call.
	 *
	 * @param status the HTTP status
	 */
	record CallRefused(int status) implements ClaimEvent {
	}

	/**
	 * The call ended without a complete response.
	 *
	 * @param firstByteSent whether a byte of the call may have been sent
	 * @param code the error code for the client
	 * @param message the cause of the failure
	 */
	record CallFailed(boolean firstByteSent, ErrorCode code, String message) implements ClaimEvent {
	}

	/**
	 * The service has a result for the key.
	 *
	 * @param response the result
	 */
	record LookupFound(RecordedResponse response) implements ClaimEvent {
	}

	/** The service has no result for the key. */
	record LookupNotFound() implements ClaimEvent {
	}

	/** The look-up failed, so it is not known whether the service has a result. */
	record LookupFailed() implements ClaimEvent {
	}

	/** The wait of {@link ClaimAction.AwaitOutcome} ended. */
	record OutcomeWaitEnded() implements ClaimEvent {
	}

	/** The deadline of the client's request passed. */
	record DeadlinePassed() implements ClaimEvent {
	}

}
