package org.comfreyslip.clients.engine;

/**
 * Kind of a step.
 */
public enum StepKind {

	/** One position after the prompt. */
	DECODE,

	/** The prompt. */
	PREFILL,

	/** Recomputes positions from 0 and keeps the result as the stream's KV cache. */
	REBUILD_KEEP,

	/**
	 * Recomputes positions from 0 for a later stage and leaves the stream's KV cache
	 * alone.
	 */
	REBUILD_DISCARD;

	/**
	 * Returns whether the step recomputes positions that were accepted before.
	 * @return {@code true} for both rebuild kinds
	 */
	public boolean isRebuild() {
		return this == REBUILD_KEEP || this == REBUILD_DISCARD;
	}

}
