package org.comfreyslip.coordination.config;

import org.comfreyslip.coordination.digest.Sha256;

/**
 * Record of the log stream {@code config}.
 */
public sealed interface ConfigRecord {

	/**
	 * Returns whether the record is consistent in itself. The fold skips other records.
	 * @param offset the record's log offset
	 * @return {@code false} if the record is damaged
	 */
	boolean isIntact(long offset);

	/**
	 * Proposal of a new text.
	 *
	 * @param id nonce and content digest, see {@link #create}
	 * @param base the version that the author changed; its offset is not compared
	 * @param author the operator's name
	 * @param text the proposed text
	 * @param textDigest SHA-256 of the text
	 */
	record Proposal(String id, ConfigVersion base, String author, String text,
			String textDigest) implements ConfigRecord {

		private static final char ID_SEPARATOR = '-';

		/**
		 * Creates a proposal. The id binds the nonce to the content. A second record with
		 * the same id therefore has the same base, and a fold that never saw the first
		 * one (because it started from a later checkpoint) still refuses the second.
		 * @param nonce a unique value without {@code -}
		 * @param base the version that the author changed
		 * @param author the operator's name
		 * @param text the proposed text
		 * @return the proposal
		 */
		public static Proposal create(String nonce, ConfigVersion base, String author, String text) {
			String textDigest = Sha256.ofText(text);
			return new Proposal(id(nonce, base, author, textDigest), base, author, text, textDigest);
		}

		@Override
		public boolean isIntact(long offset) {
			int separator = this.id.indexOf(ID_SEPARATOR);
			return separator > 0
					&& this.id.equals(id(this.id.substring(0, separator), this.base, this.author, this.textDigest))
					&& this.textDigest.equals(Sha256.ofText(this.text));
		}

		private static String id(String nonce, ConfigVersion base, String author, String textDigest) {
			return nonce + ID_SEPARATOR
					+ Sha256.ofFields(nonce, Long.toString(base.number()), base.digest(), author, textDigest);
		}

	}

	/**
	 * Copy of the folded state, from which a reader without state can start.
	 *
	 * @param snapshot version, text and the last offset folded
	 */
	record Checkpoint(ConfigSnapshot snapshot) implements ConfigRecord {

		@Override
		public boolean isIntact(long offset) {
			return this.snapshot.isIntact() && this.snapshot.foldedUpTo() < offset;
		}

	}

}
