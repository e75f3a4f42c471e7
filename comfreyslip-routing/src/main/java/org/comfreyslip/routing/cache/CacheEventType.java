package org.comfreyslip.routing.cache;

/**
 * What happened to a block of an engine's prefix cache.
 */
public enum CacheEventType {

	/** The block was stored. */
	STORED,

	/** The block was evicted. */
	EVICTED,

	/** The whole cache was cleared, or the engine restarted. */
	CLEARED

}
