package org.comfreyslip.entry;

import java.util.logging.Level;

/**
 * Numbered log events of the entry daemon; the names of the constants are written to the
 * log. The catalogue for operators is {@code docs/entry-events.md}.
 */
public enum EntryEvent {

	/** The daemon has started and listens. */
	STARTED(8001, Level.INFO),

	/** The daemon has begun to shut down. */
	STOPPING(8002, Level.INFO),

	/** The daemon has ended its shutdown and exits. */
	STOPPED(8003, Level.INFO),

	/** Changed settings were applied. */
	RELOADED(8004, Level.INFO),

	/** The readiness probe succeeds from now on. */
	READY(8005, Level.INFO),

	/** The readiness probe fails from now on. */
	NOT_READY(8006, Level.WARNING),

	/** Log lines were dropped, because the queue that bounds their volume was full. */
	LINES_DROPPED(8007, Level.WARNING),

	/** A task of the daemon failed unexpectedly. */
	TASK_FAILED(8008, Level.SEVERE),

	/** A new version of the configuration was applied. */
	CONFIGURATION(8101, Level.INFO),

	/** A record of the store cannot be decoded and was skipped. */
	RECORD_UNREADABLE(8102, Level.WARNING),

	/** A read of the store failed; the store counts as unavailable. */
	STORE_LOST(8103, Level.WARNING),

	/** A read of the store succeeded after a failure. */
	STORE_BACK(8104, Level.INFO),

	/** The store has come back with an older copy of its records. */
	STORE_WENT_BACK(8105, Level.WARNING),

	/**
	 * This daemon reads the store for its data centre from now on, or follows another.
	 */
	STORE_READING(8106, Level.INFO),

	/** An endpoint registered or changed its registration. */
	ENDPOINT_CHANGED(8201, Level.INFO),

	/** An endpoint's registration was removed from the store. */
	ENDPOINT_GONE(8202, Level.INFO),

	/** A fault was recorded against an endpoint that caused a failure. */
	ENDPOINT_BLAMED(8203, Level.WARNING),

	/** An engine is slower than usual. */
	ENGINE_SLOW(8204, Level.INFO),

	/** The request rate that an endpoint states as its limit has changed. */
	ENDPOINT_LIMIT(8205, Level.INFO),

	/** This daemon's part of an endpoint's limit has changed. */
	ENDPOINT_LIMIT_PART(8206, Level.INFO),

	/** A connection to an endpoint, needed for a request, could not be opened. */
	CONNECT_FAILED(8207, Level.INFO),

	/** No trial connection to endpoints of a service opened; requests are passed on. */
	SERVICE_LOST(8208, Level.WARNING),

	/** Endpoints of a service are reached again. */
	SERVICE_REACHED(8209, Level.INFO),

	/** Several trials to endpoints of a service failed before one of them opened. */
	SERVICE_DOUBT_CLEARED(8210, Level.INFO),
	/** A plain endpoint fails so often that it gets no more than a few trials. */
	ENDPOINT_DISTRUSTED(8220, Level.WARNING),

	/** A plain endpoint that failed often is used as before. */
	ENDPOINT_TRUSTED(8221, Level.INFO),

	/**
	 * The daemon leaves the rotation, since others serve its callers with less effort.
	 */
	ROTATION_LEFT(8009, Level.WARNING),

	/** The daemon is in rotation again. */
	ROTATION_REJOINED(8010, Level.INFO),

	/** A request ended, with or without a response. */
	REQUEST_CLOSED(8301, Level.INFO),

	/** A request was moved to another endpoint. */
	REQUEST_MOVED(8302, Level.WARNING),

	/** A request was rejected before it was read completely. */
	REQUEST_REJECTED(8303, Level.WARNING),

	/** The first engine of a stream without progress was probed. */
	STREAM_INQUIRED(8304, Level.WARNING),

	/** A path over engines was chosen for a send of a stream. */
	PATH_CHOSEN(8305, Level.INFO),

	/** No path over engines can take a send; the request is refused or suspended. */
	NO_PATH(8306, Level.WARNING),

	/** A send of a request ended without a complete response. */
	SEND_BROKEN(8307, Level.INFO),

	/** An endpoint sent bytes that belong to no response. */
	STRAY_BYTES(8308, Level.INFO),

	/** The number of daemons that the constant of the retry budget is divided by. */
	RETRY_SHARERS(8309, Level.INFO),

	/** The retry budget of a service refused retries. */
	RETRIES_REFUSED(8310, Level.INFO),

	/** An endpoint ended with requests whose answers had not begun. */
	CRASH_WITNESSED(8501, Level.WARNING),

	/** Requests with these traits crash endpoints and are refused. */
	CRASH_CAUSE_FOUND(8502, Level.WARNING),

	/** A trait is no cause of crashes, since a request with it was answered. */
	CRASH_CAUSE_ACQUITTED(8503, Level.INFO),

	/** A request that is refused otherwise is let through on trial. */
	CRASH_CAUSE_TRIED(8504, Level.INFO),

	/** A cause of crashes was written to the store, or removed from it. */
	CRASH_CAUSE_STORED(8505, Level.INFO),

	/** This daemon became the leader for layer placement or ceased to be it. */
	DUTY(8401, Level.INFO),

	/** An endpoint was ordered to hold layers. */
	LAYERS_ORDERED(8402, Level.INFO),

	/** The outcome of an order to an endpoint is known, or the order was postponed. */
	ORDER_OUTCOME(8403, Level.INFO),

	/** The set of layers that no usable engine of a data centre holds has changed. */
	LAYERS_MISSING(8404, Level.WARNING),

	/** The engines whose layers do not count since they do not respond have changed. */
	ENGINES_SUSPECTED(8410, Level.WARNING),

	/** The set of layers that no usable engine of any data centre holds has changed. */
	LAYERS_WITHOUT_REPLICA(8411, Level.WARNING),

	/** Requests of a service are held back from now on, because capacity is short. */
	ADMISSION_SHORT(8601, Level.WARNING),

	/**
	 * The share of a service's requests that is let through, while some are held back.
	 */
	ADMISSION_SHARE(8602, Level.INFO),

	/** No requests of a service are held back any more. */
	ADMISSION_ENDED(8603, Level.INFO);

	private final int number;

	private final Level level;

	EntryEvent(int number, Level level) {
		this.number = number;
		this.level = level;
	}

	/**
	 * Returns the number that identifies the event in the log and the catalogue.
	 * @return the number, which is written with the prefix {@code CS-}
	 */
	public int number() {
		return this.number;
	}

	/**
	 * Returns the level at which the event is logged.
	 * @return the level
	 */
	public Level level() {
		return this.level;
	}

}
