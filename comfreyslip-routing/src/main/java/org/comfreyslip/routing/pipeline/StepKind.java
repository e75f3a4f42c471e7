package org.comfreyslip.routing.pipeline;

/**
 * What an engine does with a step.
 */
public enum StepKind {

	/** Runs the prompt's positions and keeps their KV cache. */
	PREFILL(true),

	/** Runs one position and keeps its KV cache. */
	DECODE(true),

	/** Recomputes positions on a replacement and keeps their KV cache. */
	REBUILD_KEEP(false),

	/** Recomputes activations for a later stage; the stream's KV cache stays as it is. */
	REBUILD_DISCARD(false);

	private final boolean partOfResponse;

	StepKind(boolean accepted) {
		this.partOfResponse = accepted;
	}

	/**
	 * Returns whether an answer of this kind forms part of the caller's answer.
	 * @return {@code false} for rebuild steps, which only restore an engine's state
	 */
	public boolean isPartOfResponse() {
		return this.partOfResponse;
	}

}
