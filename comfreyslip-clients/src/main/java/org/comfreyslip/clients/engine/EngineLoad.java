package org.comfreyslip.clients.engine;

/**
 * Load of an engine. It lags behind the real state.
 *
 * @param queued steps that wait
 * @param running steps in the current batch
 * @param kvFree positions that the KV memory can still take
 * @param leaving whether the engine is about to be taken away
 */
public record EngineLoad(int queued, int running, long kvFree, boolean leaving) {
}
