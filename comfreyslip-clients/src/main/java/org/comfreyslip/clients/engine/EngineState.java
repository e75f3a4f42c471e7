package org.comfreyslip.clients.engine;

import java.util.List;

/**
 * What an engine has loaded.
 *
 * @param model name of the model, or {@code null} for none
 * @param version version of the model, or {@code null}
 * @param adapters names of the loaded adapters
 * @param firstLayer the first layer
 * @param endLayer the layer after the last one
 * @param role the role
 * @param fencingNumber the highest fencing number seen in an order, -1 for none
 */
public record EngineState(String model, String version, List<String> adapters, int firstLayer, int endLayer,
		String role, long fencingNumber) {

	/**
	 * Copies the adapters.
	 */
	public EngineState {
		adapters = List.copyOf(adapters);
	}

}
