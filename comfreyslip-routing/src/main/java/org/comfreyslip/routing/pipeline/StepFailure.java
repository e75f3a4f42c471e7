package org.comfreyslip.routing.pipeline;

/**
 * How a step failed.
 */
public enum StepFailure {

	/** The engine refused the connection or closed it. */
	UNREACHABLE(false),

	/** The engine did not respond within the step timeout. */
	TIMED_OUT(true),

	/** The engine responded with an error. */
	REFUSED(true),

	/** The engine no longer holds the stream's KV cache. */
	KV_LOST(false);

	private final boolean exportPossible;

	StepFailure(boolean exportPossible) {
		this.exportPossible = exportPossible;
	}

	/**
	 * Returns whether the engine may still be able to export the stream's KV cache.
	 * @return {@code true} if one export should be attempted
	 */
	public boolean isExportPossible() {
		return this.exportPossible;
	}

}
