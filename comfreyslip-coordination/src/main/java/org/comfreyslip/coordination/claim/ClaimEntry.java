package org.comfreyslip.coordination.claim;

import java.util.HashSet;
import java.util.Set;

import org.comfreyslip.coordination.claim.ClaimRecord.Claim;
import org.comfreyslip.coordination.claim.ClaimRecord.Outcome;
import org.comfreyslip.coordination.claim.ClaimRecord.Release;

/**
 * The state of one key in a {@link ClaimFold}.
 */
final class ClaimEntry {

	/**
	 * The number of claims after which further ones are ignored. It bounds the memory of
	 * a key that is claimed and released repeatedly.
	 */
	static final int MAX_CLAIMS = 64;

	// A claim takes effect only where its nonce first appears. Otherwise a batch that is
	// appended twice could claim a key again after its release.
	private final Set<String> nonces = new HashSet<>();

	private Claim claim;

	private Outcome outcome;

	void apply(ClaimRecord record) {
		if (record instanceof Claim newClaim) {
			applyClaim(newClaim);
		}
		else if (record instanceof Outcome result) {
			applyOutcome(result);
		}
		else if (record instanceof Release release) {
			applyRelease(release);
		}
	}

	private void applyClaim(Claim newClaim) {
		boolean takesEffect = !isClaimLimitReached() && this.nonces.add(newClaim.nonce());
		if (takesEffect && this.claim == null) {
			this.claim = newClaim;
		}
	}

	private void applyOutcome(Outcome result) {
		if (this.outcome == null && isInForce(result.nonce())) {
			this.outcome = result;
		}
	}

	private void applyRelease(Release release) {
		if (this.outcome == null && isInForce(release.nonce())) {
			this.claim = null;
		}
	}

	private boolean isInForce(String nonce) {
		return this.claim != null && this.claim.nonce().equals(nonce);
	}

	private boolean isClaimLimitReached() {
		return this.nonces.size() >= MAX_CLAIMS;
	}

	ClaimView view(String nonce, boolean complete) {
		return new ClaimView(status(), complete, this.claim, this.outcome, this.nonces.contains(nonce),
				isClaimLimitReached());
	}

	private ClaimStatus status() {
		if (this.outcome != null) {
			return ClaimStatus.DONE;
		}
		return (this.claim != null) ? ClaimStatus.CLAIMED : ClaimStatus.FREE;
	}

}
