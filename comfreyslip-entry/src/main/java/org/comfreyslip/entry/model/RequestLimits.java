package org.comfreyslip.entry.model;

/**
 * Limits on what a caller may send.
 *
 * @param maxHeaderBytes largest request head, in bytes
 * @param maxBodyBytes largest request body, in bytes
 * @param headerTimeoutMs longest time for a request head to arrive, in ms
 * @param idleTimeoutMs time after which an idle connection is closed, in ms
 */
public record RequestLimits(int maxHeaderBytes, int maxBodyBytes, long headerTimeoutMs, long idleTimeoutMs) {

	/** Limits until a configuration is known; the values of the first deployments. */
	public static final RequestLimits INITIAL = new RequestLimits(16_384, 4_194_304, 3_000, 15_000);

}
