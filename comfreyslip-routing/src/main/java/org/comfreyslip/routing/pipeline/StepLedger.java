package org.comfreyslip.routing.pipeline;

import org.comfreyslip.coordination.CodedException;
import org.comfreyslip.coordination.ErrorCode;

/**
 * Ledger of the accepted forward passes of one response. It checks that each layer runs
 * exactly once for every token position, and in layer order.
 */
public final class StepLedger {

	private final String request;

	private final int layerCount;

	private int nextPosition;

	private int nextLayer;

	private long acceptedPassCount;

	/**
	 * Creates an empty ledger.
	 * @param request the request's id, for error messages
	 * @param layerCount the model's number of layers
	 */
	public StepLedger(String request, int layerCount) {
		this.request = request;
		this.layerCount = layerCount;
	}

	/**
	 * Records an accepted forward pass.
	 * @param id the identity of the step that ran
	 * @throws CodedException with {@link ErrorCode#INVARIANT_VIOLATED} if the pass skips
	 * or repeats a layer or position, or only rebuilds a KV cache
	 */
	public void recordAcceptedPass(StepId id) {
		boolean inOrder = id.position() == this.nextPosition && id.layers().first() == this.nextLayer;
		if (!inOrder || id.layers().end() > this.layerCount || !id.kind().isPartOfResponse()) {
			throw new CodedException(ErrorCode.INVARIANT_VIOLATED, "request " + this.request + " expected position "
					+ this.nextPosition + " layer " + this.nextLayer + " but step " + id + " was to be accepted");
		}
		this.acceptedPassCount++;
		this.nextLayer = id.layers().end();
		if (this.nextLayer == this.layerCount) {
			this.nextLayer = 0;
			this.nextPosition += id.count();
		}
	}

	/**
	 * Checks that all layers ran for every position of the response.
	 * @param positions the number of positions
	 * @throws CodedException with {@link ErrorCode#INVARIANT_VIOLATED} otherwise
	 */
	public void requireComplete(int positions) {
		if (this.nextPosition != positions || this.nextLayer != 0) {
			throw new CodedException(ErrorCode.INVARIANT_VIOLATED, "request " + this.request + " ends with position "
					+ this.nextPosition + " layer " + this.nextLayer + " instead of position " + positions);
		}
	}

	/**
	 * Returns the number of accepted forward passes.
	 * @return the count over all stages
	 */
	public long acceptedPassCount() {
		return this.acceptedPassCount;
	}

}
