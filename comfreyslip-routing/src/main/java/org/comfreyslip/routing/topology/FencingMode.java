package org.comfreyslip.routing.topology;

/**
 * How an engine treats the fencing token of an order.
 */
public enum FencingMode {

	/** The engine refuses an order with an older token. */
	CHECKED,

	/** The engine ignores the token. */
	IGNORED

}
