package org.comfreyslip.clients.engine;

/**
 * Order to an engine. It states a desired end state, so it may be repeated.
 *
 * @param fencingNumber number of the lease under which the order is given
 * @param action the action
 * @param model name of the model, or {@code null}
 * @param version version of the model, or {@code null}
 * @param adapter name of the adapter, or {@code null}
 * @param firstLayer the first layer to load
 * @param endLayer the layer after the last one to load
 * @param role the role, or {@code null}
 */
public record EngineOrder(long fencingNumber, OrderAction action, String model, String version, String adapter,
		int firstLayer, int endLayer, String role) {
}
