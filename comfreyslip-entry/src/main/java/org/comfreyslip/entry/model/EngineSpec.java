package org.comfreyslip.entry.model;

import java.util.Map;

/**
 * The model engine of a service whose layers are spread over endpoints.
 *
 * @param slots requests that an endpoint accepts as the first of a path
 * @param layers layers of the model
 * @param layerMb memory of one layer's weights, in MB
 * @param kvBytesPerTokenLayer KV cache of one token in one layer, in bytes
 * @param stepMs base time of a decoding step through all layers, in ms
 * @param stepMsPerSequence further step time for each sequence of the batch, in ms
 * @param stepMsPerContextToken further step time for each token of context, in ms
 * @param readTokensPerMs prompt tokens that are read in one ms through all layers
 * @param pipeMsPerToken time that one token takes on the pipe between two data centres,
 * in ms
 * @param loadSeconds time to load all layers, in s
 * @param usualPromptTokens mean length of a prompt, in tokens
 * @param usualAnswerTokens mean length of an answer, in tokens
 * @param kinds accelerator kinds by name
 */
public record EngineSpec(int slots, int layers, double layerMb, double kvBytesPerTokenLayer, double stepMs,
		double stepMsPerSequence, double stepMsPerContextToken, double readTokensPerMs, double pipeMsPerToken,
		double loadSeconds, int usualPromptTokens, int usualAnswerTokens, Map<String, AcceleratorKind> kinds) {

	private static final double BYTES_PER_MB = 1e6;

	/**
	 * Returns the KV cache memory that an endpoint has beside its weights.
	 * @param kind the accelerator kind
	 * @param heldLayers the number of layers whose weights it holds
	 * @return the capacity in tokens times layers
	 */
	public double kvTokenLayers(AcceleratorKind kind, int heldLayers) {
		double freeMb = kind.memoryMb() - heldLayers * this.layerMb;
		return Math.max(0, freeMb) * BYTES_PER_MB / this.kvBytesPerTokenLayer;
	}

	/**
	 * Returns the largest number of layers whose weights fit.
	 * @param kind the accelerator kind
	 * @return the number of layers, at most those of the model
	 */
	public int mostLayers(AcceleratorKind kind) {
		return (int) Math.min(this.layers, Math.floor(kind.memoryMb() / this.layerMb));
	}

}
