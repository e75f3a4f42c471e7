package org.comfreyslip.routing.placement;

import org.comfreyslip.routing.topology.LayerRange;

/**
 * An order to an engine about what it is to hold. It states the target state and is
 * idempotent.
 */
public sealed interface PlacementOrder {

	/**
	 * Returns the engine that the order is sent to.
	 * @return the engine's name
	 */
	String engine();

	/**
	 * The engine is to hold a layer range of a model, instead of what it holds now.
	 *
	 * @param engine the engine's name
	 * @param model the model's name
	 * @param version the version of the model
	 * @param layers the layer range
	 * @param reason why the engine is to change what it holds
	 */
	record LoadRange(String engine, String model, String version, LayerRange layers,
			PlacementReason reason) implements PlacementOrder {
	}

	/**
	 * The engine is to hold another adapter in addition to those it holds.
	 *
	 * @param engine the engine's name
	 * @param adapter the adapter's name
	 */
	record LoadAdapter(String engine, String adapter) implements PlacementOrder {
	}

	/**
	 * The engine is to unload an adapter that is no longer configured.
	 *
	 * @param engine the engine's name
	 * @param adapter the adapter's name
	 */
	record UnloadAdapter(String engine, String adapter) implements PlacementOrder {
	}

}
