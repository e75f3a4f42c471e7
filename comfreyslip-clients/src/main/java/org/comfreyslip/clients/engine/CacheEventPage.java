package org.comfreyslip.clients.engine;

import java.util.List;

/**
 * Cache events of an engine.
 *
 * @param next the number to ask from next
 * @param events the events by number, possibly with gaps
 */
public record CacheEventPage(long next, List<CacheEvent> events) {

	/**
	 * Copies the events.
	 */
	public CacheEventPage {
		events = List.copyOf(events);
	}

}
