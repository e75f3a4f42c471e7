package org.comfreyslip.clients.engine;

/**
 * Order to an engine. It describes the state to reach, so it is idempotent.
 *
 * @param fencingNumber fencing token of the lease under which the order is sent
 * @param action what the engine is to do
 * @param model name of the model, or {@code null}
 * @param version version of the model, or {@code null}
 * @param adapter name of the adapter, or {@code null}
 * @param firstLayer the first layer to load
 * @param endLayer the layer after the last one to load
 * @param role the role to take, or {@code null}
 */
public record EngineOrder(long fencingNumber, OrderAction action, String model, String version, String adapter,
		int firstLayer, int endLayer, String role) {
}
