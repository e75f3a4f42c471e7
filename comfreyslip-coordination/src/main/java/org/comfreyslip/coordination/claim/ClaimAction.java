package org.comfreyslip.coordination.claim;

/**
 * What the driver of a protected call has to do. Actions are to be carried out in their
 * order.
 */
public sealed interface ClaimAction {

	/**
	 * Offer a record to the {@link ClaimBatcher}. If it rejects a claim, report
	 * {@link ClaimEvent.AppendRefused}.
	 *
	 * @param item the record
	 */
	record AppendRecord(ClaimRecord item) implements ClaimAction {
	}

	/**
	 * Read the key's stream and report {@link ClaimEvent.RecordsRead}.
	 *
	 * @param throughOffset the offset to reach, or {@link #END} for the end of the stream
	 */
	record ReadStream(long throughOffset) implements ClaimAction {

		/**
		 * Stands for the end of the stream.
		 */
		public static final long END = -1;

	}

	/**
	 * Send the call once. Ask {@link ProtectedCall#tryStart(long)} immediately before the
	 * first byte; if it refuses, report {@link ClaimEvent.CallFailed} without first byte.
	 *
	 * @param nonce the attempt under whose claim the call is sent
	 * @param sendByEpochMillis the time to pass on to a service that enforces it
	 */
	record SendCall(String nonce, long sendByEpochMillis) implements ClaimAction {
	}

	/**
	 * Look the key up at the service.
	 *
	 * @param key the key
	 */
	record LookUp(ClaimKey key) implements ClaimAction {
	}

	/**
	 * Wait for the outcome of another attempt and report
	 * {@link ClaimEvent.OutcomeWaitEnded}. Records that are read meanwhile are reported
	 * as usual.
	 *
	 * @param millis how long to wait, in milliseconds
	 */
	record AwaitOutcome(long millis) implements ClaimAction {
	}

	/**
	 * Respond to the caller. There is exactly one such action per call.
	 *
	 * @param result the response
	 */
	record Answer(ClaimResult result) implements ClaimAction {
	}

}
