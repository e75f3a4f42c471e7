package org.comfreyslip.routing.cache;

/**
 * Kind of change of an engine's prefix cache.
 */
public enum CacheEventType {

	/** The block was stored. */
	STORED,

	/** The block was evicted. */
	EVICTED,

	/** The whole cache was cleared, or the engine restarted. */
	CLEARED

}
