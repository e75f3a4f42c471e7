package org.comfreyslip.entry;

import java.util.logging.Level;

/**
 * Numbered log events of the entry daemon. The catalogue is in
 * {@code docs/entry-events.md}.
 */
public enum EntryEvent {

	/** The daemon listens. */
	STARTED(8001, Level.INFO),

	/** The shutdown began. */
	STOPPING(8002, Level.INFO),

	/** The daemon ends. */
	STOPPED(8003, Level.INFO),

	/** The settings were read again. */
	RELOADED(8004, Level.INFO),

	/** The daemon reports itself ready. */
	READY(8005, Level.INFO),

	/** The daemon reports itself not ready. */
	NOT_READY(8006, Level.WARNING),

	/** Lines were dropped to bound the volume of the log. */
	LINES_DROPPED(8007, Level.WARNING),

	/** A task of the daemon failed unexpectedly. */
	TASK_FAILED(8008, Level.SEVERE),

	/** A configuration is in force. */
	CONFIGURATION(8101, Level.INFO),

	/** A record cannot be decoded. */
	RECORD_UNREADABLE(8102, Level.WARNING),

	/** The store is out of reach. */
	STORE_LOST(8103, Level.WARNING),

	/** The store answers again. */
	STORE_BACK(8104, Level.INFO),

	/** An endpoint appeared or changed. */
	ENDPOINT_CHANGED(8201, Level.INFO),

	/** An endpoint's registration is gone. */
	ENDPOINT_GONE(8202, Level.INFO),

	/** An endpoint was named as the cause of a failure. */
	ENDPOINT_BLAMED(8203, Level.WARNING),

	/** An engine is slower than usual. */
	ENGINE_SLOW(8204, Level.INFO),

	/** A request has its final answer. */
	REQUEST_CLOSED(8301, Level.INFO),

	/** A request goes on at another endpoint. */
	REQUEST_MOVED(8302, Level.WARNING),

	/** A request was refused before it was read completely. */
	REQUEST_REJECTED(8303, Level.WARNING),

	/** A stream without progress was looked into. */
	STREAM_INQUIRED(8304, Level.WARNING),

	/** This daemon holds the placement of layers, or no longer does. */
	DUTY(8401, Level.INFO),

	/** An endpoint was ordered to hold layers. */
	LAYERS_ORDERED(8402, Level.INFO),

	/** What became of an order. */
	ORDER_OUTCOME(8403, Level.INFO);

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
