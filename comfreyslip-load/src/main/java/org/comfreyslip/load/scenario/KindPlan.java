package org.comfreyslip.load.scenario;

/**
 * Engines of one accelerator kind in every stage.
 *
 * @param name the kind's name
 * @param layerMicros the time of a batch per layer in microseconds
 * @param perStage the number of engines of the kind in each stage
 */
public record KindPlan(String name, int layerMicros, int perStage) {
}
