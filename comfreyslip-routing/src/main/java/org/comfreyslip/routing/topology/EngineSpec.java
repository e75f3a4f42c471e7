package org.comfreyslip.routing.topology;

/**
 * A model engine of the operators' text.
 *
 * @param name the engine's name
 * @param address IP address and port
 * @param dataCentre the data centre it stands in
 * @param kind the accelerator kind
 * @param model the model it holds
 * @param layers the layer range it holds
 * @param fencing how it treats the fencing token (fencing number) of an order
 */
public record EngineSpec(String name, String address, String dataCentre, String kind, String model, LayerRange layers,
		FencingMode fencing) {
}
