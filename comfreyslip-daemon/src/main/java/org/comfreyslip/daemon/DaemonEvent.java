package org.comfreyslip.daemon;

import java.util.logging.Level;

import com.google.common.flogger.FluentLogger;

/**
 * Numbered log events of the daemon. The page {@code docs/events.md} lists each event
 * with its meaning and remedy.
 */
public enum DaemonEvent {

	/** The daemon accepts requests. */
	STARTED(1001, Level.INFO, "daemon %s listens for callers at %s, for operators at %s"),

	/** The shutdown began. */
	DRAIN_STARTED(1002, Level.INFO, "shutdown began with %s open requests"),

	/** The shutdown ended. */
	DRAIN_ENDED(1003, Level.INFO, "shutdown ended, %s requests cut off"),

	/** Changed TLS files cannot be used. */
	KEY_FILES_INVALID(1004, Level.SEVERE, "TLS files cannot be used, the earlier ones stay in use: %s"),

	/** The first bytes of a connection to a TLS listener were not TLS. */
	NOT_TLS(1005, Level.WARNING, "a connection to a TLS listener did not begin with TLS and was closed"),

	/** A configuration came into force. */
	CONFIG_IN_FORCE(2001, Level.INFO, "configuration %s by %s is in force"),

	/** A proposal was refused. */
	CONFIG_REFUSED(2002, Level.INFO, "proposal %s was refused, version %s won"),

	/** An accepted text cannot be applied by this software version. */
	CONFIG_NOT_APPLICABLE(2003, Level.SEVERE, "configuration %s cannot be applied: %s"),

	/** The configuration stream cannot be read. */
	CONFIG_LOG_UNAVAILABLE(2004, Level.WARNING, "the configuration stream cannot be read: %s"),

	/** The configuration was taken from peers. */
	CONFIG_FROM_PEERS(2005, Level.WARNING, "configuration %s was taken from peers because the log is down"),

	/** A stage was lost during a completion. */
	STAGE_LOST(3001, Level.WARNING, "request %s lost engine %s: %s"),

	/** A completion continues after the loss of a stage. */
	STAGE_RECOVERED(3002, Level.INFO, "request %s recovered in %s ms, cache %s"),

	/** A completion failed. */
	ANSWER_FAILED(3003, Level.WARNING, "request %s failed: %s"),

	/** An engine or endpoint is leaving. */
	ENDPOINT_LEAVING(3004, Level.INFO, "endpoint %s is leaving"),

	/** A claim stream cannot be read or written. */
	CLAIM_LOG_UNAVAILABLE(4001, Level.WARNING, "claim stream %s is unavailable: %s"),

	/** The outcome of a protected call is unknown. */
	OUTCOME_UNKNOWN(4002, Level.WARNING, "request %s with key %s has an unknown outcome"),

	/** A foreign or damaged record was skipped. */
	FOREIGN_RECORD(4003, Level.WARNING, "stream %s: a record was skipped: %s"),

	/** A daemon was seen for the first time. */
	MEMBER_JOINED(5001, Level.INFO, "daemon %s joined"),

	/** A daemon left or no longer sends messages. */
	MEMBER_GONE(5002, Level.WARNING, "daemon %s is %s"),

	/** A peer's configuration could not be fetched or used. */
	PEER_CONFIG_FAILED(5003, Level.WARNING, "the configuration of peer %s could not be used: %s"),

	/** This daemon holds the maintenance lease. */
	LEASE_HELD(6001, Level.INFO, "lease %s is held with fencing number %s"),

	/** This daemon no longer holds the maintenance lease. */
	LEASE_ENDED(6002, Level.INFO, "lease %s is no longer held"),

	/** The lease stream cannot be read or written. */
	LEASE_LOG_UNAVAILABLE(6003, Level.WARNING, "the lease stream is unavailable: %s"),

	/** A checkpoint was appended. */
	CHECKPOINT_WRITTEN(6004, Level.INFO, "checkpoint of configuration %s written at offset %s"),

	/** A checkpoint could not be appended. */
	CHECKPOINT_FAILED(6005, Level.WARNING, "checkpoint of configuration %s could not be written: %s"),

	/** An order to an engine was begun. */
	ORDER_BEGUN(6006, Level.INFO, "order %s begun"),

	/** An order to an engine ended. */
	ORDER_ENDED(6007, Level.INFO, "order %s ended: %s"),

	/** The audit stream cannot be written. */
	AUDIT_LOG_UNAVAILABLE(7001, Level.WARNING, "the audit stream is unavailable, %s entries wait: %s"),

	/** An invariant does not hold. */
	INVARIANT_VIOLATED(9001, Level.SEVERE, "request %s: %s"),

	/** A request failed by an error without a code. */
	UNEXPECTED(9002, Level.SEVERE, "request %s failed unexpectedly: %s");

	private static final FluentLogger LOGGER = FluentLogger.forEnclosingClass();

	private final int number;

	private final Level level;

	private final String format;

	DaemonEvent(int number, Level level, String format) {
		this.number = number;
		this.level = level;
		this.format = format;
	}

	/**
	 * Returns the event's id.
	 * @return the id in the form {@code CS-1001}
	 */
	public String id() {
		return "CS-" + this.number;
	}

	/**
	 * Returns the event's level.
	 * @return the level at which it is logged
	 */
	public Level level() {
		return this.level;
	}

	/**
	 * Returns the message format.
	 * @return the format for {@link String#format}, without the id
	 */
	public String format() {
		return this.format;
	}

	/**
	 * Logs the event.
	 * @param arguments the arguments of the format, as many as it has places
	 */
	public void log(Object... arguments) {
		LOGGER.at(this.level).log("%s", id() + " " + String.format(this.format, arguments));
	}

}
