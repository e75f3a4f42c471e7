package org.comfreyslip.entry.model;

import java.util.Map;

/**
 * The model and the performance figures of a service whose layers are spread over several
 * endpoints. Unlike the class of this name in {@code org.comfreyslip.routing.topology},
 * it describes the service as a whole, not one engine. Times are those of an accelerator
 * with factor 1.
 *
 * @param slots number of requests that an endpoint accepts as the first stage of a path
 * @param layers number of layers of the model
 * @param layerMb memory of one layer's weights, in MB
 * @param kvBytesPerTokenLayer KV cache of one token in one layer, in bytes
 * @param stepMs base time of a decoding step through all layers, in ms
 * @param stepMsPerSequence additional step time for each sequence of the batch, in ms
 * @param stepMsPerContextToken additional step time for each token of context, in ms
 * @param prefillTokensPerMs prompt tokens that the prefill runs through all layers in 1
 * ms
 * @param linkMsPerToken time that the activations of one token take on the link between
 * two data centres, in ms; 0 if its bandwidth is not given
 * @param loadSeconds time to load the weights of all layers, in s
 * @param meanPromptTokens mean length of a prompt, in tokens
 * @param meanResponseTokens mean length of a response, in tokens
 * @param kinds the accelerator kinds by name
 */
public record EngineSpec(int slots, int layers, double layerMb, double kvBytesPerTokenLayer, double stepMs,
		double stepMsPerSequence, double stepMsPerContextToken, double prefillTokensPerMs, double linkMsPerToken,
		double loadSeconds, int meanPromptTokens, int meanResponseTokens, Map<String, AcceleratorKind> kinds) {

	private static final double BYTES_PER_MB = 1e6;

	/**
	 * Returns the KV cache capacity of an endpoint: the memory that its weights leave.
	 * @param kind the endpoint's accelerator kind
	 * @param heldLayers number of layers whose weights it holds
	 * @return the capacity in tokens times layers; 0 if the weights do not fit
	 */
	public double kvCapacityTokenLayers(AcceleratorKind kind, int heldLayers) {
		double freeMb = kind.memoryMb() - heldLayers * this.layerMb;
		return Math.max(0, freeMb) * BYTES_PER_MB / this.kvBytesPerTokenLayer;
	}

	/**
	 * Returns the KV cache that a stream of mean length takes in one layer.
	 * @return the memory at the end of the stream, in MB
	 */
	public double usualCacheMbPerLayer() {
		return (this.meanPromptTokens + this.meanResponseTokens) * this.kvBytesPerTokenLayer / BYTES_PER_MB;
	}

	/**
	 * Returns the largest number of layers whose weights fit on an endpoint.
	 * @param kind the endpoint's accelerator kind
	 * @return the number of layers, at most {@link #layers}
	 */
	public int maxLayers(AcceleratorKind kind) {
		return (int) Math.min(this.layers, Math.floor(kind.memoryMb() / this.layerMb));
	}

}
