package org.comfreyslip.clients.engine;

/**
 * Body of a request that ends a stream on an engine.
 *
 * @param attempt the attempt that ends; from then on the engine refuses steps of lower
 * attempts
 */
public record CancelRequest(int attempt) {
}
