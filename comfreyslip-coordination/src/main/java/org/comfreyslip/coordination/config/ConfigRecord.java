package org.comfreyslip.coordination.config;

import org.comfreyslip.coordination.digest.Sha256;

/**
 * Record of the log stream {@code config}.
 */
public sealed interface ConfigRecord {

	/**
	 * Returns whether the record's digests and offsets are consistent. The fold skips
	 * records that are not intact.
	 * @param offset the record's log offset
	 * @return {@code false} if a digest or an offset in the record is wrong
	 */
	boolean isIntact(long offset);

	/**
	 * Proposal of a new configuration text.
	 *
	 * @param id nonce and content digest, see {@link #create}
	 * @param base the version that the author changed; compared by number and digest, not
	 * by offset
	 * @param author the operator's name
	 * @param text the whole proposed text
	 * @param textDigest hexadecimal SHA-256 of the text
	 */
	record Proposal(String id, ConfigVersion base, String author, String text,
			String textDigest) implements ConfigRecord {

		private static final char ID_SEPARATOR = '-';

		/**
		 * Creates a proposal whose id binds the nonce to the content. A second record
		 * with the same id therefore has the same base. A fold that did not read the
		 * first record, because it started from a later checkpoint, refuses the second
		 * one for its outdated base.
		 * @param nonce a unique value without {@code -}
		 * @param base the version that the author changed
		 * @param author the operator's name
		 * @param text the whole proposed text
		 * @return the proposal, with id and text digest
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
	 * Stored copy of the folded state, from which a reader without state can start.
	 *
	 * @param snapshot the state, with the last offset folded into it
	 */
	record Checkpoint(ConfigSnapshot snapshot) implements ConfigRecord {

		@Override
		public boolean isIntact(long offset) {
			return this.snapshot.isIntact() && this.snapshot.foldedUpTo() < offset;
		}

	}

}
