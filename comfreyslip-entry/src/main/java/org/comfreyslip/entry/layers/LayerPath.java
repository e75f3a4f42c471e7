package org.comfreyslip.entry.layers;

import java.util.List;

import org.comfreyslip.entry.model.Endpoint;
import org.comfreyslip.entry.model.LayerRange;

/**
 * A path of one stream through all layers.
 *
 * @param parts the parts in order of their layers; at least one
 */
public record LayerPath(List<Part> parts) {

	/**
	 * Returns the endpoint that the request is sent to.
	 * @return the endpoint of the first part
	 */
	public Endpoint first() {
		return this.parts.get(0).endpoint();
	}

	/**
	 * Tells whether an endpoint serves a part.
	 * @param id the endpoint's identity
	 * @return whether the path leads over it
	 */
	public boolean uses(String id) {
		for (Part part : this.parts) {
			if (part.endpoint().id().equals(id)) {
				return true;
			}
		}
		return false;
	}

	/**
	 * Some layers at one endpoint.
	 *
	 * @param endpoint the endpoint
	 * @param layers the layers that it runs
	 */
	public record Part(Endpoint endpoint, LayerRange layers) {
	}

}
