package org.comfreyslip.routing.placement;

import org.comfreyslip.routing.topology.LayerRange;

/**
 * An order to an engine. It states an end state, so that giving it twice has no further
 * effect.
 */
public sealed interface PlacementOrder {

	/**
	 * Returns the engine that gets the order.
	 * @return the engine's name
	 */
	String engine();

	/**
	 * The engine is to hold a layer range of a model, instead of what it holds now.
	 *
	 * @param engine the engine's name
	 * @param model the model
	 * @param version the version
	 * @param layers the layer range
	 * @param reason why
	 */
	record LoadRange(String engine, String model, String version, LayerRange layers,
			PlacementReason reason) implements PlacementOrder {
	}

	/**
	 * The engine is to hold a further adapter.
	 *
	 * @param engine the engine's name
	 * @param adapter the adapter
	 */
	record LoadAdapter(String engine, String adapter) implements PlacementOrder {
	}

	/**
	 * The engine is to drop an adapter that the configuration no longer names.
	 *
	 * @param engine the engine's name
	 * @param adapter the adapter
	 */
	record UnloadAdapter(String engine, String adapter) implements PlacementOrder {
	}

}
