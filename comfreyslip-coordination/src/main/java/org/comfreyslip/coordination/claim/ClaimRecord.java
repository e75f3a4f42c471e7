package org.comfreyslip.coordination.claim;

/**
 * A record of a claim stream. Records are appended in a {@link ClaimBatch}.
 */
public sealed interface ClaimRecord {

	/**
	 * Returns the key that the record concerns.
	 * @return the claimed key
	 */
	ClaimKey key();

	/**
	 * Returns the nonce of the claim that the record belongs to.
	 * @return the identity of the attempt that made the claim, unique per attempt
	 */
	String nonce();

	/**
	 * An attempt's claim on a key.
	 *
	 * @param key the claimed key
	 * @param nonce the identity of the attempt
	 * @param daemon the daemon that runs the attempt
	 * @param requestDigest the digest of the request, compared when the key is used again
	 * @param sendByEpochMillis the time until which the attempt may send the call, in
	 * milliseconds since the epoch
	 */
	record Claim(ClaimKey key, String nonce, String daemon, String requestDigest,
			long sendByEpochMillis) implements ClaimRecord {
	}

	/**
	 * The result of the call that was sent under a claim.
	 *
	 * @param key the claimed key
	 * @param nonce the nonce of the claim that the result belongs to
	 * @param fromLookup whether the result was looked up at the service instead of being
	 * received by the claimant
	 * @param response the response of the service
	 */
	record Outcome(ClaimKey key, String nonce, boolean fromLookup, RecordedResponse response) implements ClaimRecord {
	}

	/**
	 * The end of a claim whose call was not sent, was refused by the service without
	 * being executed, or can no longer be executed. The key can be claimed again.
	 *
	 * @param key the claimed key
	 * @param nonce the nonce of the claim that ends
	 */
	record Release(ClaimKey key, String nonce) implements ClaimRecord {
	}

}
