package org.comfreyslip.coordination.config;

import org.comfreyslip.coordination.Invariant;
import org.comfreyslip.coordination.digest.Sha256;

/**
 * State of a configuration fold, as it is stored in checkpoints and sent to peers.
 *
 * @param version the version in effect
 * @param text the whole configuration text in effect, empty before the first acceptance
 * @param foldedUpTo offset of the last log record folded into this state, -1 for none
 */
public record ConfigSnapshot(ConfigVersion version, String text, long foldedUpTo) {

	/** The state before the first log record. */
	public static final ConfigSnapshot INITIAL = new ConfigSnapshot(ConfigVersion.INITIAL, "", -1);

	/**
	 * Returns whether digest, text and offsets are consistent.
	 * @return {@code true} if the version's digest is that of the text and the version
	 * was accepted at or before the last folded offset
	 */
	public boolean isIntact() {
		return this.version.number() >= 0 && this.version.offset() <= this.foldedUpTo
				&& this.version.digest().equals(Sha256.ofText(this.text));
	}

	/**
	 * Returns whether a log reader can continue from this snapshot without a gap.
	 * @param head the log's oldest retained offset, or the first offset read
	 * @return {@code true} if every record after the snapshot can be read
	 */
	public boolean canCatchUpFrom(long head) {
		return head <= this.foldedUpTo + 1;
	}

	/**
	 * Checks the invariant that a process never replaces its state by an older one.
	 * @param earlier the state that the process had
	 * @throws org.comfreyslip.coordination.CodedException with
	 * {@link org.comfreyslip.coordination.ErrorCode#INVARIANT_VIOLATED} if the version
	 * number would decrease, or if the same number would stand for another text
	 */
	public void assertNotBehind(ConfigSnapshot earlier) {
		long number = this.version.number();
		long before = earlier.version.number();
		Invariant.check(number >= before, "the configuration version went from " + before + " down to " + number);
		Invariant.check(number > before || this.version.digest().equals(earlier.version.digest()),
				"two texts have the configuration version " + number);
	}

}
