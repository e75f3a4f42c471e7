package org.comfreyslip.entry.layers;

import java.util.List;

import org.comfreyslip.entry.model.Endpoint;
import org.comfreyslip.entry.model.LayerRange;

/**
 * The stages that one stream runs through, which together cover all layers of the model.
 *
 * @param stages the stages in order of their layers; at least one
 */
public record LayerPath(List<Stage> stages) {

	/**
	 * Returns the endpoint that the request is sent to.
	 * @return the endpoint of the first stage
	 */
	public Endpoint firstEndpoint() {
		return this.stages.get(0).endpoint();
	}

	/**
	 * Tells whether an endpoint serves a stage.
	 * @param id the endpoint's identity
	 * @return whether a stage of the path runs at it
	 */
	public boolean usesEndpoint(String id) {
		for (Stage stage : this.stages) {
			if (stage.endpoint().id().equals(id)) {
				return true;
			}
		}
		return false;
	}

	/**
	 * An engine of a path with the layers that it runs.
	 *
	 * @param endpoint the endpoint that runs the layers
	 * @param layers the layers that it runs; may be fewer than it holds
	 */
	public record Stage(Endpoint endpoint, LayerRange layers) {
	}

}
