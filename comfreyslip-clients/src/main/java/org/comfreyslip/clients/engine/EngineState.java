package org.comfreyslip.clients.engine;

import java.util.List;

/**
 * What an engine has loaded.
 *
 * @param model name of the model, or {@code null} for none
 * @param version version of the model, or {@code null}
 * @param adapters names of the loaded adapters
 * @param firstLayer the first loaded layer
 * @param endLayer the layer after the last loaded one
 * @param role role of the engine
 * @param fencingNumber the highest fencing token seen in an order, -1 for none
 */
public record EngineState(String model, String version, List<String> adapters, int firstLayer, int endLayer,
		String role, long fencingNumber) {

	/**
	 * Makes an unmodifiable copy of the adapters.
	 */
	public EngineState {
		adapters = List.copyOf(adapters);
	}

}
