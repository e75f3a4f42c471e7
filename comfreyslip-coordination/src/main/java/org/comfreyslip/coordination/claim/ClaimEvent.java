package org.comfreyslip.coordination.claim;

import org.comfreyslip.coordination.ErrorCode;

/**
 * What happened to a protected call.
 */
public sealed interface ClaimEvent {

	/**
	 * The request was received.
	 *
	 * @param view the state of the key
	 */
	record Started(ClaimView view) implements ClaimEvent {
	}

	/**
	 * The log confirmed the append of the claim.
	 *
	 * @param offset the offset of the batch
	 */
	record ClaimAppended(long offset) implements ClaimEvent {
	}

	/** The append of the claim may or may not have taken effect; it is repeated. */
	record AppendUnknown() implements ClaimEvent {
	}

	/** The claim is known not to be in the log. */
	record AppendRefused() implements ClaimEvent {
	}

	/**
	 * The stream was read further.
	 *
	 * @param view the state of the key after it
	 */
	record RecordsRead(ClaimView view) implements ClaimEvent {
	}

	/**
	 * The service responded completely.
	 *
	 * @param response the response
	 */
	record CallAnswered(RecordedResponse response) implements ClaimEvent {
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
	 * @param firstByteSent whether a byte of it may have left
	 * @param code the reason
	 * @param message what was found
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

	/** The look-up ended without a statement of the service. */
	record LookupFailed() implements ClaimEvent {
	}

	/** The time of {@link ClaimAction.AwaitOutcome} is over. */
	record OutcomeWaitEnded() implements ClaimEvent {
	}

	/** The caller's deadline passed. */
	record DeadlinePassed() implements ClaimEvent {
	}

}
