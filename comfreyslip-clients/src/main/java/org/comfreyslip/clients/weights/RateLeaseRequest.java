package org.comfreyslip.clients.weights;

/**
 * Request for permission to fetch weights.
 *
 * @param holder name of the process that wants to fetch
 * @param bytes number of bytes to fetch
 */
public record RateLeaseRequest(String holder, long bytes) {
}
