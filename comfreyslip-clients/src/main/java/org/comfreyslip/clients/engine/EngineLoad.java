package org.comfreyslip.clients.engine;

/**
 * Load of an engine as it last measured it, so it may be out of date.
 *
 * @param queued number of steps that wait
 * @param running number of steps in the current batch
 * @param kvFree number of positions for which the KV memory still has room
 * @param leaving whether the engine is about to be taken out of service
 */
public record EngineLoad(int queued, int running, long kvFree, boolean leaving) {
}
