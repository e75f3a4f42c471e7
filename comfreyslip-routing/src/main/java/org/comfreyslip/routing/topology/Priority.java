package org.comfreyslip.routing.topology;

/**
 * Priority of a client account's requests, highest first.
 */
public enum Priority {

	/** Refused last under load. */
	HIGH,

	/** The default; refused after {@link #LOW} under load. */
	NORMAL,

	/** Refused first under load. */
	LOW

}
