package org.comfreyslip.routing.placement;

/**
 * Why an engine is to hold something else.
 */
public enum PlacementReason {

	/** It holds a version that is no longer configured. */
	VERSION,

	/** Layers of the model have no engine. */
	UNCOVERED,

	/** Demand is close to the capacity of the layers. */
	DEMAND

}
