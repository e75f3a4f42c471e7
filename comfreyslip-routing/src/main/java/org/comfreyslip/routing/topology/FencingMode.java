package org.comfreyslip.routing.topology;

/**
 * How an engine treats the fencing number of an order.
 */
public enum FencingMode {

	/** The engine refuses an order with an older number. */
	CHECKED,

	/** The engine ignores the number. */
	IGNORED

}
