package org.comfreyslip.clients.engine;

/**
 * Ends a stream on an engine.
 *
 * @param attempt the attempt that ends; steps of lower attempts are refused from now on
 */
public record CancelRequest(int attempt) {
}
