package org.comfreyslip.standins.engine;

import org.comfreyslip.clients.engine.StepKind;

/**
 * How often a layer range ran for one position.
 *
 * @param stream name of the response
 * @param position the position
 * @param firstLayer the first layer
 * @param endLayer the layer after the last one
 * @param kind kind of the steps
 * @param runs number of runs
 */
public record PassCount(String stream, int position, int firstLayer, int endLayer, StepKind kind, int runs) {
}
