package org.comfreyslip.clients.weights;

/**
 * Request for permission to fetch weights.
 *
 * @param holder name of the asking process
 * @param bytes how much will be fetched
 */
public record RateLeaseRequest(String holder, long bytes) {
}
