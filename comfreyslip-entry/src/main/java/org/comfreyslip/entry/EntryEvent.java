package org.comfreyslip.entry;

import java.util.logging.Level;

/**
 * Numbered log events of the entry daemon. The catalogue is in {@code docs/events.md}.
 */
public enum EntryEvent {

	/** The daemon listens. */
	STARTED(6001, Level.INFO),

	/** The shutdown began. */
	STOPPING(6002, Level.INFO),

	/** The daemon ends. */
	STOPPED(6003, Level.INFO),

	/** The settings were read again. */
	RELOADED(6004, Level.INFO),

	/** The daemon reports itself ready. */
	READY(6005, Level.INFO),

	/** The daemon reports itself not ready. */
	NOT_READY(6006, Level.WARNING),

	/** Lines were dropped to bound the volume of the log. */
	LINES_DROPPED(6007, Level.WARNING),

	/** A task of the daemon failed unexpectedly. */
	TASK_FAILED(6008, Level.SEVERE),

	/** A configuration is in force. */
	CONFIGURATION(6101, Level.INFO),

	/** A record cannot be decoded. */
	RECORD_UNREADABLE(6102, Level.WARNING),

	/** The store is out of reach. */
	STORE_LOST(6103, Level.WARNING),

	/** The store answers again. */
	STORE_BACK(6104, Level.INFO),

	/** An endpoint appeared or changed. */
	ENDPOINT_CHANGED(6201, Level.INFO),

	/** An endpoint's registration is gone. */
	ENDPOINT_GONE(6202, Level.INFO),

	/** An endpoint was named as the cause of a failure. */
	ENDPOINT_BLAMED(6203, Level.WARNING),

	/** An engine is slower than usual. */
	ENGINE_SLOW(6204, Level.INFO),

	/** A request has its final answer. */
	REQUEST_CLOSED(6301, Level.INFO),

	/** A request goes on at another endpoint. */
	REQUEST_MOVED(6302, Level.WARNING),

	/** A request was refused before it was read completely. */
	REQUEST_REJECTED(6303, Level.WARNING),

	/** A stream without progress was looked into. */
	STREAM_INQUIRED(6304, Level.WARNING),

	/** This daemon holds the placement of layers, or no longer does. */
	DUTY(6401, Level.INFO),

	/** An endpoint was ordered to hold layers. */
	LAYERS_ORDERED(6402, Level.INFO),

	/** What became of an order. */
	ORDER_OUTCOME(6403, Level.INFO);

	private final int number;

	private final Level level;

	EntryEvent(int number, Level level) {
		this.number = number;
		this.level = level;
	}

	/**
	 * Returns the number in the catalogue.
	 * @return the number
	 */
	public int number() {
		return this.number;
	}

	/**
	 * Returns the level.
	 * @return the level
	 */
	public Level level() {
		return this.level;
	}

}
