package org.comfreyslip.coordination.audit;

/**
 * A fault that {@link AuditChain#verify} found.
 *
 * @param position the index of the record in the list that was verified
 * @param type what is wrong with the record
 */
public record AuditFault(int position, Type type) {

	/** What is wrong with a record of a chain. */
	public enum Type {

		/** Records between the previous one and this one are missing. */
		MISSING,

		/** A field of the record was changed. */
		ALTERED,

		/** The record belongs to another chain or replaces a record of this one. */
		FOREIGN

	}

}
