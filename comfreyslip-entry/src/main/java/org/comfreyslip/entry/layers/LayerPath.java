package org.comfreyslip.entry.layers;

import java.util.ArrayList;
import java.util.List;
import java.util.stream.Collectors;

import org.comfreyslip.entry.model.Endpoint;
import org.comfreyslip.entry.model.LayerRange;
import org.comfreyslip.entry.model.SocketAddresses;

/**
 * The stages that one stream runs through, which together cover all layers of the model.
 *
 * @param stages the stages in order of their layers; at least one
 * @param expectedTokenMs expected time per token, including the share of prompt
 * processing, in ms
 * @param addedCostMs what the stages added to the cost of the path in the search, in ms
 * per token; 0 if nothing
 */
public record LayerPath(List<Stage> stages, double expectedTokenMs, double addedCostMs) {

	/**
	 * Creates a path without added cost.
	 * @param stages the stages in order of their layers; at least one
	 * @param expectedTokenMs expected time per token, in ms
	 */
	public LayerPath(List<Stage> stages, double expectedTokenMs) {
		this(stages, expectedTokenMs, 0);
	}

	// Returns the cost by which paths are compared, in ms per token.
	double costMs() {
		return this.expectedTokenMs + this.addedCostMs;
	}

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
	 * Tells whether another path runs the same layers on the same endpoints.
	 * @param other the other path; its endpoints may have newer registrations
	 * @return whether the stages have the same endpoints and layers in the same order
	 */
	public boolean hasSameStages(LayerPath other) {
		boolean same = this.stages.size() == other.stages.size();
		for (int index = 0; same && index < this.stages.size(); index++) {
			Stage stage = this.stages.get(index);
			Stage otherStage = other.stages.get(index);
			same = stage.endpoint().id().equals(otherStage.endpoint().id())
					&& stage.layers().equals(otherStage.layers());
		}
		return same;
	}

	/**
	 * Tells whether an endpoint at an address serves a stage after the first one.
	 * @param address the address, as text
	 * @return whether a later stage runs there
	 */
	public boolean usesLaterAddress(String address) {
		return this.stages.stream()
			.skip(1)
			.anyMatch((stage) -> SocketAddresses.text(stage.endpoint().address()).equals(address));
	}

	/**
	 * Returns the links between data centres that the activations pass.
	 * @return the key of the link for each pair of successive stages in different data
	 * centres, in order; a link may occur several times
	 */
	public List<String> crossedLinks() {
		List<String> links = new ArrayList<>();
		for (int index = 1; index < this.stages.size(); index++) {
			String from = this.stages.get(index - 1).endpoint().dataCentre();
			String to = this.stages.get(index).endpoint().dataCentre();
			if (!from.equals(to)) {
				links.add(LayerLoads.linkKey(from, to));
			}
		}
		return links;
	}

	/**
	 * Returns the path in a short form for the log.
	 * @return identity, layers and data centre of each stage, separated by {@code >}
	 */
	public String describe() {
		return this.stages.stream()
			.map((stage) -> stage.endpoint().id() + ':' + stage.layers().from() + '-' + stage.layers().to() + '@'
					+ stage.endpoint().dataCentre())
			.collect(Collectors.joining(">"));
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
