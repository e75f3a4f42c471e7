package org.comfreyslip.coordination.claim;

/**
 * One attempt at a protected call: a call to a service that must be executed at most once
 * per idempotency key.
 *
 * @param key the key to claim
 * @param nonce the identity of the attempt, unique among all attempts
 * @param daemon the daemon that runs the attempt
 * @param requestDigest the digest of method, path and body
 * @param sendByNanos the time until which the call may be sent, in monotonic nanoseconds
 * of this process
 * @param sendByEpochMillis the same time in milliseconds since the epoch, for the claim
 * record
 * @param lookupPath the path at which the client can look the outcome up
 * @param canLookUp whether the service can look up the result of a key
 * @param enforcesSendBy whether the service refuses calls that arrive after send-by
 */
public record ProtectedRequest(ClaimKey key, String nonce, String daemon, String requestDigest, long sendByNanos,
		long sendByEpochMillis, String lookupPath, boolean canLookUp, boolean enforcesSendBy) {

	ClaimRecord.Claim claim() {
		return new ClaimRecord.Claim(this.key, this.nonce, this.daemon, this.requestDigest, this.sendByEpochMillis);
	}

	ClaimRecord.Release release() {
		return new ClaimRecord.Release(this.key, this.nonce);
	}

}
