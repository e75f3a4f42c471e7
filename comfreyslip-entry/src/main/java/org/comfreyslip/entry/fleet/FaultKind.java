package org.comfreyslip.entry.fleet;

/**
 * What a fault of an endpoint says about its process.
 */
public enum FaultKind {

	/**
	 * It declined a request or broke off a response: it may be full or may have moved its
	 * layers, but its process responds. Other daemons learn of it by its load or
	 * registration.
	 */
	DECLINED,

	/**
	 * Its process ended or does not respond. Other daemons should avoid it too, and its
	 * layers may have to be placed elsewhere.
	 */
	UNREACHABLE

}
