package org.comfreyslip.routing.pipeline;

import org.comfreyslip.coordination.CodedException;
import org.comfreyslip.coordination.ErrorCode;

/**
 * Ledger of the accepted passes of one answer. It asserts that for every token each layer
 * is accepted exactly once and that the layers come in order.
 */
public final class StepLedger {

	private final String request;

	private final int layerCount;

	private int nextPosition;

	private int nextLayer;

	private long acceptedPassCount;

	/**
	 * Creates an empty ledger.
	 * @param request the request's id, for messages
	 * @param layers the model's number of layers
	 */
	public StepLedger(String request, int layers) {
		this.request = request;
		this.layerCount = layers;
	}

	/**
	 * Records an accepted pass.
	 * @param id the step's identity
	 * @throws CodedException with {@link ErrorCode#INVARIANT_VIOLATED} on a gap, a repeat
	 * or a disorder
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
	 * Asserts that the answer is complete up to a position.
	 * @param positions the number of positions that all layers have to have passed
	 * @throws CodedException with {@link ErrorCode#INVARIANT_VIOLATED} otherwise
	 */
	public void requireComplete(int positions) {
		if (this.nextPosition != positions || this.nextLayer != 0) {
			throw new CodedException(ErrorCode.INVARIANT_VIOLATED, "request " + this.request + " ends with position "
					+ this.nextPosition + " layer " + this.nextLayer + " instead of position " + positions);
		}
	}

	/**
	 * Returns the number of accepted passes.
	 * @return the count over all stages
	 */
	public long acceptedPassCount() {
		return this.acceptedPassCount;
	}

}
