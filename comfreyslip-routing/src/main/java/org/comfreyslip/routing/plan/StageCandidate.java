package org.comfreyslip.routing.plan;

import org.comfreyslip.routing.topology.EngineSpec;
import org.comfreyslip.routing.topology.LayerRange;

/**
 * An engine that can run a layer range of a model.
 *
 * @param engine the engine's name
 * @param model the model it holds
 * @param layers the layer range it holds
 * @param dataCentre the data centre it stands in
 * @param kind its accelerator kind
 */
public record StageCandidate(String engine, String model, LayerRange layers, String dataCentre, String kind) {

	/**
	 * Creates a candidate from an engine of the operators' text.
	 * @param spec the configured engine
	 * @return the candidate, with the configured layer range
	 */
	public static StageCandidate of(EngineSpec spec) {
		return new StageCandidate(spec.name(), spec.model(), spec.layers(), spec.dataCentre(), spec.kind());
	}

}
