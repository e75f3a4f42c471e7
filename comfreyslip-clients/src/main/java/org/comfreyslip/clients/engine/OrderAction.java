package org.comfreyslip.clients.engine;

/**
 * What an {@link EngineOrder} tells an engine to do.
 */
public enum OrderAction {

	/** Load a layer range of a model. */
	LOAD_MODEL,

	/** Unload the model. */
	UNLOAD_MODEL,

	/** Load an adapter of the loaded model. */
	LOAD_ADAPTER,

	/** Change the engine's role. */
	SET_ROLE

}
