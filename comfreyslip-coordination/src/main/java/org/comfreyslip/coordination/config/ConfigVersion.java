package org.comfreyslip.coordination.config;

import org.comfreyslip.coordination.digest.Sha256;

/**
 * Version of the accepted configuration text.
 *
 * @param number number of proposals accepted so far, 0 before the first
 * @param offset log offset of the accepted proposal, -1 before the first
 * @param digest hexadecimal SHA-256 of the text
 */
public record ConfigVersion(long number, long offset, String digest) {

	/** The version before the first acceptance, with an empty text. */
	public static final ConfigVersion INITIAL = new ConfigVersion(0, -1, Sha256.ofText(""));

	/**
	 * Returns whether a proposal with the given base applies to this version. The number
	 * is compared too, because the digest alone would match again when a text returns to
	 * an earlier state.
	 * @param base the version that the proposal's author changed
	 * @return {@code true} if number and digest are equal
	 */
	public boolean matchesBase(ConfigVersion base) {
		return this.number == base.number && this.digest.equals(base.digest);
	}

}
