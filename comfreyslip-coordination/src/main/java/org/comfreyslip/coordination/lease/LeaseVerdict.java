package org.comfreyslip.coordination.lease;

/**
 * Decision of a {@link LeaseFold} about one record.
 */
public enum LeaseVerdict {

	/** The record took effect. */
	ACCEPTED,

	/** The record refers to a state or holder of the lease that is not current. */
	REFUSED,

	/** An earlier append of the same request was accepted. */
	DUPLICATE,

	/** The record refers to its own log offset or a later one. */
	DAMAGED

}
