package org.comfreyslip.routing.topology;

/**
 * Priority of a client account's requests, highest first.
 */
public enum Priority {

	/** Served first. */
	HIGH,

	/** The default. */
	NORMAL,

	/** Refused first under load. */
	LOW

}
