package org.comfreyslip.routing.placement;

/**
 * Why an engine is to change what it holds.
 */
public enum PlacementReason {

	/** It holds a version that is no longer configured. */
	VERSION,

	/** Some layers of the model have no engine. */
	UNCOVERED,

	/** Demand has been close to the capacity of the layers for some time. */
	DEMAND

}
