package org.comfreyslip.coordination.claim;

/**
 * The state of a key in a {@link ClaimFold}, as seen by one attempt.
 *
 * @param status the state of the key
 * @param complete whether the fold has read every record that can concern the key, up to
 * its position; if not, {@code status} must not be relied on
 * @param claim the claim in force, or {@code null} if the key is free
 * @param outcome the recorded outcome, or {@code null} if there is none
 * @param ownClaimRead whether the attempt's own claim has been read back, in force or not
 * @param claimLimitReached whether further claims on the key are ignored, because it was
 * claimed too often
 */
public record ClaimView(ClaimStatus status, boolean complete, ClaimRecord.Claim claim, ClaimRecord.Outcome outcome,
		boolean ownClaimRead, boolean claimLimitReached) {

	/**
	 * Returns whether a claim is the one in force.
	 * @param nonce the nonce of the claim
	 * @return {@code true} if the claim was the first on the free key and was not
	 * released
	 */
	public boolean isClaimedBy(String nonce) {
		return this.claim != null && this.claim.nonce().equals(nonce);
	}

}
