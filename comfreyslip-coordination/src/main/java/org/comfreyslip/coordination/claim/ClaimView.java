package org.comfreyslip.coordination.claim;

/**
 * What a fold knows about a key at one moment, seen by one attempt.
 *
 * @param status the state of the key
 * @param complete whether the fold has read every record that can concern the key, up to
 * its position; if not, {@code status} must not be relied on
 * @param claim the claim in force, or {@code null} if the key is free
 * @param outcome the recorded outcome, or {@code null}
 * @param nonceSeen whether the attempt's own claim has been read back
 * @param exhausted whether the key takes no further claim
 */
public record ClaimView(ClaimStatus status, boolean complete, ClaimRecord.Claim claim, ClaimRecord.Outcome outcome,
		boolean nonceSeen, boolean exhausted) {

	/**
	 * Returns whether a claim is the one in force.
	 * @param nonce the nonce of the claim
	 * @return {@code true} if the claim won and was not released
	 */
	public boolean isWonBy(String nonce) {
		return this.claim != null && this.claim.nonce().equals(nonce);
	}

}
