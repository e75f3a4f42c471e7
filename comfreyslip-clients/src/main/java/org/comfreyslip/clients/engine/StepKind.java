package org.comfreyslip.clients.engine;

/**
 * Kind of a step in the messages to an engine. The routing module has its own
 * {@link org.comfreyslip.routing.pipeline.StepKind}, which does not depend on the
 * messages.
 */
public enum StepKind {

	/** Runs one position after the prompt. */
	DECODE,

	/** Runs the positions of the prompt. */
	PREFILL,

	/** Recomputes positions from 0 and keeps the result as the stream's KV cache. */
	REBUILD_KEEP,

	/**
	 * Recomputes positions from 0 for a later stage and leaves the stream's KV cache
	 * unchanged.
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
