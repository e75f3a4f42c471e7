package org.comfreyslip.coordination.claim;

import java.util.HashSet;
import java.util.Set;

import org.comfreyslip.coordination.claim.ClaimRecord.Claim;
import org.comfreyslip.coordination.claim.ClaimRecord.Outcome;
import org.comfreyslip.coordination.claim.ClaimRecord.Release;

/**
 * The state of one key in a fold.
 */
final class ClaimEntry {

	/**
	 * Bounds the memory of a key that is claimed and released again and again.
	 */
	static final int MAX_CLAIMS = 64;

	// A claim counts only where its nonce first appears. Otherwise a batch that is
	// appended twice could take a key again after its release.
	private final Set<String> nonces = new HashSet<>();

	private Claim claim;

	private Outcome outcome;

	void apply(ClaimRecord item) {
		if (item instanceof Claim offered) {
			applyClaim(offered);
		}
		else if (item instanceof Outcome result) {
			applyOutcome(result);
		}
		else if (item instanceof Release release) {
			applyRelease(release);
		}
	}

	private void applyClaim(Claim offered) {
		boolean counts = !isExhausted() && this.nonces.add(offered.nonce());
		if (counts && this.claim == null) {
			this.claim = offered;
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

	private boolean isExhausted() {
		return this.nonces.size() >= MAX_CLAIMS;
	}

	ClaimView view(String nonce, boolean complete) {
		return new ClaimView(status(), complete, this.claim, this.outcome, this.nonces.contains(nonce), isExhausted());
	}

	private ClaimStatus status() {
		if (this.outcome != null) {
			return ClaimStatus.DONE;
		}
		return (this.claim != null) ? ClaimStatus.CLAIMED : ClaimStatus.FREE;
	}

}
