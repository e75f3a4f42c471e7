package org.comfreyslip.coordination.claim;

/**
 * A record of a claim stream. Records travel in a {@link ClaimBatch}.
 */
public sealed interface ClaimRecord {

	/**
	 * Returns what the record is about.
	 * @return the claimed key
	 */
	ClaimKey key();

	/**
	 * Returns which attempt the record belongs to.
	 * @return the nonce of the claim, unique per attempt
	 */
	String nonce();

	/**
	 * An attempt's claim on a key.
	 *
	 * @param key the claimed key
	 * @param nonce the identity of the attempt
	 * @param daemon the daemon that runs the attempt
	 * @param requestDigest the digest of the request, compared when the key is used again
	 * @param sendByEpochMillis until when the attempt may send the call, in milliseconds
	 * since the epoch
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
	 * The end of a claim under which nothing was sent or can be executed any more.
	 *
	 * @param key the claimed key
	 * @param nonce the nonce of the claim that ends
	 */
	record Release(ClaimKey key, String nonce) implements ClaimRecord {
	}

}
