package org.comfreyslip.clients.weights;

/**
 * Response of the weight store to a {@link RateLeaseRequest}.
 *
 * @param granted whether the fetch may start
 * @param retryAfterMillis time to wait before the next request if the fetch may not
 * start, in milliseconds
 */
public record RateLease(boolean granted, long retryAfterMillis) {
}
