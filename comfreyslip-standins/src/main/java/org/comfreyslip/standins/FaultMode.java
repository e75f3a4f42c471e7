package org.comfreyslip.standins;

/**
 * A fault that a stand-in shows.
 */
public enum FaultMode {

	/** No fault. */
	NONE,

	/** Refuses with status 503, without an effect. */
	DOWN,

	/** Resets the connection without an answer and without an effect. */
	RESET,

	/** Performs the action, then resets the connection without an answer. */
	LOST_ANSWER,

	/** Delays the action. */
	SLOW,

	/** Accepts the request, has no effect and never answers. */
	HANG,

	/**
	 * Never again answers on connections that were in use when the fault began; new
	 * connections work.
	 */
	SILENT,

	/** An engine reports that it is about to be taken away. */
	LEAVING

}
