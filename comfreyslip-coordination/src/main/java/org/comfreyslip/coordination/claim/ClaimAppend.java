package org.comfreyslip.coordination.claim;

/**
 * An append that {@link ClaimBatcher} has started and its caller has to send to the log.
 *
 * @param partition the number of the claim stream
 * @param batch the records
 * @param repeated whether an earlier append of the batch had an unknown outcome
 */
public record ClaimAppend(int partition, ClaimBatch batch, boolean repeated) {

}
