package org.comfreyslip.coordination.audit;

/**
 * A fault that the verification of a chain found.
 *
 * @param position index of the entry in the list that was verified
 * @param type what is wrong
 */
public record AuditFault(int position, Type type) {

	/** What is wrong with a chain. */
	public enum Type {

		/** Entries before this one are missing. */
		MISSING,

		/** A field of the entry was changed. */
		ALTERED,

		/** The entry belongs to another chain or replaces an entry of this one. */
		FOREIGN

	}

}
