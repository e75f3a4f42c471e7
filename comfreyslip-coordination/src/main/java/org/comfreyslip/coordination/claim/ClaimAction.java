package org.comfreyslip.coordination.claim;

/**
 * What the caller of {@link ProtectedCall} has to do. The actions of one list are carried
 * out in their order.
 */
public sealed interface ClaimAction {

	/**
	 * Offer a record to the {@link ClaimBatcher}. If the record is a claim and is
	 * rejected, report {@link ClaimEvent.AppendRefused}.
	 *
	 * @param record the record
	 */
	record AppendRecord(ClaimRecord record) implements ClaimAction {
	}

	/**
	 * Read the key's stream and report {@link ClaimEvent.RecordsRead}.
	 *
	 * @param throughOffset the last offset to read, or {@link #END} for the end of the
	 * stream
	 */
	record ReadStream(long throughOffset) implements ClaimAction {

		/**
		 * Stands for the end of the stream.
		 */
		public static final long END = -1;

	}

	/**
	 * Send the call once. Call {@link ProtectedCall#tryStartSending(long)} immediately
	 * before the first byte; if it returns {@code false}, send nothing and report
	 * {@link ClaimEvent.CallFailed} with {@code firstByteSent} set to {@code false}.
	 *
	 * @param nonce the nonce of the claim under which the call is sent
	 * @param sendByEpochMillis the time after which a service that enforces it refuses
	 * the call, in milliseconds since the epoch
	 */
	record SendCall(String nonce, long sendByEpochMillis) implements ClaimAction {
	}

	/**
	 * Look the key up at the service and report {@link ClaimEvent.LookupFound},
	 * {@link ClaimEvent.LookupNotFound} or {@link ClaimEvent.LookupFailed}.
	 *
	 * @param key the key
	 */
	record LookUp(ClaimKey key) implements ClaimAction {
	}

	/**
	 * Wait for the outcome of another attempt and report
	 * {@link ClaimEvent.OutcomeWaitEnded}. Records that are read in the meantime are
	 * reported as usual.
	 *
	 * @param millis the time to wait, in milliseconds
	 */
	record AwaitOutcome(long millis) implements ClaimAction {
	}

	/**
	 * Respond to the client. There is exactly one such action per call.
	 *
	 * @param result what the client is told
	 */
	record Respond(ClaimResult result) implements ClaimAction {
	}

}
