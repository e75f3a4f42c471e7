package org.comfreyslip.routing.pipeline;

/**
 * What an engine does with the positions of a step and their KV cache, as the state
 * machine of a run sees it. The clients module has an enum of the same name for the
 * message.
 */
public enum StepKind {

	/** Runs the prompt's positions and keeps their KV cache. */
	PREFILL(true),

	/** Runs one position and keeps its KV cache. */
	DECODE(true),

	/** Recomputes positions on a replacement engine and keeps their KV cache. */
	REBUILD_KEEP(false),

	/**
	 * Recomputes activations for a later stage; the engine's KV cache for the stream is
	 * unchanged.
	 */
	REBUILD_DISCARD(false);

	private final boolean partOfResponse;

	StepKind(boolean accepted) {
		this.partOfResponse = accepted;
	}

	/**
	 * Returns whether the result of a step of this kind is part of the response.
	 * @return {@code false} for rebuild steps, which only restore the KV cache of a stage
	 */
	public boolean isPartOfResponse() {
		return this.partOfResponse;
	}

}
