package org.comfreyslip.coordination.config;

import org.comfreyslip.coordination.Invariant;
import org.comfreyslip.coordination.digest.Sha256;

/**
 * State of a configuration fold, for checkpoints and peers.
 *
 * @param version the version in effect
 * @param text the text in effect
 * @param foldedUpTo the last log offset folded, -1 for none
 */
public record ConfigSnapshot(ConfigVersion version, String text, long foldedUpTo) {

	/** The state before the first record. */
	public static final ConfigSnapshot INITIAL = new ConfigSnapshot(ConfigVersion.INITIAL, "", -1);

	/**
	 * Returns whether the snapshot is consistent in itself.
	 * @return {@code true} if the digest is the text's and the version lies within the
	 * folded part of the log
	 */
	public boolean isIntact() {
		return this.version.number() >= 0 && this.version.offset() <= this.foldedUpTo
				&& this.version.digest().equals(Sha256.ofText(this.text));
	}

	/**
	 * Returns whether a reader can continue from this snapshot.
	 * @param head the log's oldest retained offset, or the first offset read
	 * @return {@code true} if every record after the snapshot can be read
	 */
	public boolean reaches(long head) {
		return head <= this.foldedUpTo + 1;
	}

	/**
	 * Asserts that a process may replace an earlier state by this one.
	 * @param earlier the state that the process had
	 * @throws org.comfreyslip.coordination.CodedException with
	 * {@link org.comfreyslip.coordination.ErrorCode#INVARIANT_VIOLATED} if the version
	 * would go down or the same number would have another text
	 */
	public void assertNotBehind(ConfigSnapshot earlier) {
		long number = this.version.number();
		long before = earlier.version.number();
		Invariant.check(number >= before, "the configuration version went from " + before + " down to " + number);
		Invariant.check(number > before || this.version.digest().equals(earlier.version.digest()),
				"two texts have the configuration version " + number);
	}

}
