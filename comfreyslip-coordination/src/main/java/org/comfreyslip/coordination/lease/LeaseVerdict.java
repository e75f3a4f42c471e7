package org.comfreyslip.coordination.lease;

/**
 * What a fold decided about one record of the lease stream.
 */
public enum LeaseVerdict {

	/** The record took effect. */
	ACCEPTED,

	/** Another record was accepted after the state that the writer saw. */
	REFUSED,

	/** The same request was accepted before. */
	DUPLICATE,

	/** The record names offsets that do not exist yet. */
	DAMAGED

}
