package org.comfreyslip.coordination.claim;

/**
 * An append that the batcher asks for.
 *
 * @param partition the number of the claim stream
 * @param batch the records
 * @param repeated whether the batch was appended before with an unknown outcome
 */
public record ClaimAppend(int partition, ClaimBatch batch, boolean repeated) {

}
