package org.comfreyslip.operator;

/**
 * Whether a subcommand changes the system.
 */
public enum SubcommandKind {

	/** Changes the configuration or a daemon's state. */
	COMMAND,

	/** Only reads. */
	QUERY

}
