package org.comfreyslip.clients.engine;

import java.util.List;

/**
 * Result of one read of an engine's prefix cache events.
 *
 * @param next event number from which the next read continues
 * @param events the events in ascending order of number, possibly with gaps
 */
public record CacheEventPage(long next, List<CacheEvent> events) {

	/**
	 * Makes an unmodifiable copy of the events.
	 */
	public CacheEventPage {
		events = List.copyOf(events);
	}

}
