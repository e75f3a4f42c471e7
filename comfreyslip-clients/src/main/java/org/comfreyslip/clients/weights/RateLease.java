package org.comfreyslip.clients.weights;

/**
 * Answer of the weight store.
 *
 * @param granted whether the fetch may start
 * @param retryAfterMillis when to ask again if it may not, in milliseconds
 */
public record RateLease(boolean granted, long retryAfterMillis) {
}
